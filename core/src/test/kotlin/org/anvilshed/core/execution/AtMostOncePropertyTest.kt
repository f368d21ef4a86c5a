package org.anvilshed.core.execution

import io.kotest.core.spec.style.FunSpec
import org.anvilshed.core.UnknownReason
import org.anvilshed.core.fuzz.fuzz
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val COMMANDS = 120

/** Limits that the random requests reach, so that refusals and answers that are not retained occur. */
private val SMALL_TABLE = ExecutionLimits(records = 3, answerBytes = 64, totalAnswerBytes = 15)

class AtMostOncePropertyTest :
    FunSpec({
        test("a request runs at most once and is never answered as not run after it ran") {
            val unknown = mutableMapOf<UnknownReason, Int>()
            var answered = 0
            var notRun = 0
            fuzz("at most once", ::commands) { commands ->
                val world = AtMostOnceWorld(if (commands.size % 2 == 0) SMALL_TABLE else ExecutionLimits())
                commands.forEach(world::run)
                world.unknown.forEach { (reason, count) -> unknown.merge(reason, count, Int::plus) }
                answered += world.answered
                notRun += world.notRun
            }
            println("at most once: $answered answered, $notRun not run, ${unknown.values.sum()} unknown $unknown")
        }
    })

private fun commands(random: Random): List<WorldCommand> = List(COMMANDS - random.nextInt(2)) { index ->
    if (index < 2) WorldCommand.Issue(random.nextInt(4)) else command(random)
}

private fun command(random: Random): WorldCommand = when (random.nextInt(100)) {
    in 0..2 -> WorldCommand.Issue(random.nextInt(4))
    in 3..24 -> WorldCommand.Submit(random.nextInt(100), random.nextInt(4), deadline(random))
    in 25..77 -> WorldCommand.Step(random.nextInt(100), pause(random), overtaking = random.nextInt(24) - 16)
    in 78..82 -> WorldCommand.Lose(random.nextInt(100), random.nextBoolean())
    in 83..87 -> WorldCommand.Advance(if (random.nextInt(4) == 0) 70.seconds else random.nextInt(900).milliseconds)
    88 -> WorldCommand.Restart(random.nextInt(4))
    in 89..90 -> WorldCommand.Freeze(random.nextInt(4), frozen = true)
    in 91..92 -> WorldCommand.Freeze(random.nextInt(4), frozen = false)
    in 93..94 -> WorldCommand.Lease(random.nextInt(4), random.nextInt(3) > 0)
    in 95..97 -> WorldCommand.Shed(random.nextInt(3) == 0)
    else -> WorldCommand.Expire
}

/** Some deadlines exceed the time for which windows are accepted, so that a window can expire during the wait. */
private fun deadline(random: Random): Duration =
    if (random.nextInt(20) == 0) 400.seconds else (50 + random.nextInt(5000)).milliseconds

private fun pause(random: Random): Duration = when (random.nextInt(30)) {
    in 0..1 -> 360.seconds
    2 -> 2.seconds
    else -> Duration.ZERO
}
