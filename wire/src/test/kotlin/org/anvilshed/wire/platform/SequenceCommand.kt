package org.anvilshed.wire.platform

import kotlin.random.Random

/** One command of a random sequence. Indices are taken modulo the present sizes, so that any subset can be run. */
sealed interface SequenceCommand {
    /** A command that concerns a procedure of an operator. */
    sealed interface OperatorCommand : SequenceCommand

    /** An operator starts to submit a version counted from the current one. */
    data class Submit(val operator: Int, val offset: Int, val revoke: Int, val keepRevoked: Boolean) : OperatorCommand

    data class SignOff(val operator: Int, val offset: Int) : OperatorCommand

    data object Repair : OperatorCommand

    /** Lets one waiting call of an operator happen. */
    data class Step(val procedure: Int, val fate: CallFate) : OperatorCommand

    /** Lets the reads of an operator happen up to its next write, and then the write. */
    data class StepWrite(val procedure: Int, val fate: CallFate) : OperatorCommand

    /** Lets all calls of one operator's procedure happen. */
    data class Finish(val procedure: Int) : OperatorCommand

    /** The operator's process ends between two calls. */
    data class Crash(val procedure: Int) : OperatorCommand

    data class Outage(val isOn: Boolean) : SequenceCommand

    /** Writes that were delayed in the network reach the platform. */
    data object DeliverDelayed : SequenceCommand

    data class ReadPlatform(val vm: Int, val fate: CallFate) : SequenceCommand

    data class Heartbeat(val from: Int, val to: Int, val isReplyLost: Boolean) : SequenceCommand

    data class Restart(val vm: Int) : SequenceCommand

    data class OfferForged(val vm: Int, val kind: ForgeryKind) : SequenceCommand

    data class StoreForged(val offset: Int, val kind: ForgeryKind) : SequenceCommand
}

/** How a bundle that must not come into force is made. */
enum class ForgeryKind { SINGLE_SIGNED, SAME_OPERATOR, UNKNOWN_SECOND, REVOKED_SECOND, CHANGED_BYTES, MOVED_SIGN_OFF }

private val FATES = CallFate.entries + List(4) { CallFate.DELIVER }

fun randomCommands(random: Random): List<SequenceCommand> = List(random.nextInt(10, 50)) { randomCommand(random) }

private fun randomCommand(random: Random): SequenceCommand =
    if (random.nextInt(40) < 27) randomOperatorCommand(random) else randomOtherCommand(random)

private fun randomOperatorCommand(random: Random): SequenceCommand = when (random.nextInt(27)) {
    in 0..5 -> SequenceCommand.Submit(
        operator = random.nextInt(12),
        offset = random.nextInt(4),
        revoke = random.nextInt(24),
        keepRevoked = random.nextInt(8) > 0,
    )

    in 6..11 -> SequenceCommand.SignOff(random.nextInt(12), random.nextInt(4))

    12 -> SequenceCommand.Repair

    in 13..14 -> SequenceCommand.Step(random.nextInt(8), FATES.random(random))

    in 15..22 -> SequenceCommand.StepWrite(random.nextInt(8), FATES.random(random))

    in 23..25 -> SequenceCommand.Finish(random.nextInt(8))

    else -> SequenceCommand.Crash(random.nextInt(8))
}

private fun randomOtherCommand(random: Random): SequenceCommand = when (random.nextInt(13)) {
    0 -> SequenceCommand.Outage(random.nextInt(3) == 0)
    1 -> SequenceCommand.DeliverDelayed
    in 2..4 -> SequenceCommand.ReadPlatform(random.nextInt(8), FATES.random(random))
    in 5..9 -> SequenceCommand.Heartbeat(random.nextInt(8), random.nextInt(8), random.nextInt(5) == 0)
    10 -> SequenceCommand.Restart(random.nextInt(8))
    11 -> SequenceCommand.OfferForged(random.nextInt(8), ForgeryKind.entries.random(random))
    else -> SequenceCommand.StoreForged(random.nextInt(1, 4), ForgeryKind.entries.random(random))
}
