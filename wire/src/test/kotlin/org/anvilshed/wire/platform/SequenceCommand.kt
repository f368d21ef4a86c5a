package org.anvilshed.wire.platform

import kotlin.random.Random

/** One command of a random sequence. Indices are taken modulo the current sizes, so that any subset can be run. */
sealed interface SequenceCommand {
    /** A command that starts or continues a procedure of an operator. */
    sealed interface OperatorCommand : SequenceCommand

    /** An operator starts to submit the version that is [offset] above the current one. */
    data class Submit(val operator: Int, val offset: Int, val revoke: Int, val keepRevoked: Boolean) : OperatorCommand

    data class SignOff(val operator: Int, val offset: Int) : OperatorCommand

    /** Two operators submit and sign off the next version without any other call between theirs. */
    data class Release(val author: Int, val second: Int) : OperatorCommand

    data object Repair : OperatorCommand

    /** Completes one waiting call of an operator with [outcome]. */
    data class Step(val procedure: Int, val outcome: CallOutcome) : OperatorCommand

    /** Completes the reads of an operator up to its next write, and then the write with [outcome]. */
    data class StepWrite(val procedure: Int, val outcome: CallOutcome) : OperatorCommand

    /** Completes all calls of one procedure of an operator. */
    data class Finish(val procedure: Int) : OperatorCommand

    /** The operator's process ends between two calls. */
    data class Crash(val procedure: Int) : OperatorCommand

    data class Outage(val isOn: Boolean) : SequenceCommand

    /** Writes that were delayed in the network reach the platform. */
    data object DeliverDelayed : SequenceCommand

    /** A VM reads `bundles/current`, possibly stale, and then the record that it names. */
    data class ReadPlatform(val vm: Int, val outcome: CallOutcome) : SequenceCommand

    data class Heartbeat(val from: Int, val to: Int, val reply: ReplyOutcome) : SequenceCommand

    data object DeliverLateReplies : SequenceCommand

    data class Restart(val vm: Int) : SequenceCommand

    data class OfferForged(val vm: Int, val kind: ForgeryKind) : SequenceCommand

    data class StoreForged(val offset: Int, val kind: ForgeryKind) : SequenceCommand
}

/** Outcome of the reply to a request for a bundle. */
enum class ReplyOutcome { IN_TIME, LATE, LOST }

/** Ways to forge a bundle that must not come into force. */
enum class ForgeryKind { SINGLE_SIGNED, SAME_OPERATOR, UNKNOWN_SECOND, REVOKED_SECOND, CHANGED_BYTES, MOVED_SIGN_OFF }

private val CALL_OUTCOMES = CallOutcome.entries + List(4) { CallOutcome.DELIVER }

fun randomCommands(random: Random): List<SequenceCommand> = List(random.nextInt(10, 35)) { randomCommand(random) }

private fun randomCommand(random: Random): SequenceCommand =
    if (random.nextInt(40) < 27) randomOperatorCommand(random) else randomOtherCommand(random)

private fun randomOperatorCommand(random: Random): SequenceCommand = when (random.nextInt(30)) {
    in 0..5 -> SequenceCommand.Submit(
        operator = random.nextInt(12),
        offset = random.nextInt(4),
        revoke = random.nextInt(24),
        keepRevoked = random.nextInt(8) > 0,
    )

    in 6..11 -> SequenceCommand.SignOff(random.nextInt(12), random.nextInt(4))

    12 -> SequenceCommand.Repair

    in 13..14 -> SequenceCommand.Step(random.nextInt(8), CALL_OUTCOMES.random(random))

    in 15..22 -> SequenceCommand.StepWrite(random.nextInt(8), CALL_OUTCOMES.random(random))

    in 23..25 -> SequenceCommand.Finish(random.nextInt(8))

    in 26..28 -> SequenceCommand.Release(random.nextInt(12), random.nextInt(12))

    else -> SequenceCommand.Crash(random.nextInt(8))
}

private fun randomOtherCommand(random: Random): SequenceCommand = when (random.nextInt(13)) {
    0 -> SequenceCommand.Outage(random.nextInt(3) == 0)
    1 -> SequenceCommand.DeliverDelayed
    2 -> SequenceCommand.ReadPlatform(random.nextInt(8), CALL_OUTCOMES.random(random))
    3 -> SequenceCommand.ReadPlatform(random.nextInt(8), CallOutcome.DELIVER)
    4 -> SequenceCommand.ReadPlatform(random.nextInt(8), CallOutcome.STALE)
    in 5..8 -> SequenceCommand.Heartbeat(random.nextInt(8), random.nextInt(8), ReplyOutcome.entries.random(random))
    9 -> SequenceCommand.DeliverLateReplies
    10 -> SequenceCommand.Restart(random.nextInt(8))
    11 -> SequenceCommand.OfferForged(random.nextInt(8), ForgeryKind.entries.random(random))
    else -> SequenceCommand.StoreForged(random.nextInt(1, 4), ForgeryKind.entries.random(random))
}
