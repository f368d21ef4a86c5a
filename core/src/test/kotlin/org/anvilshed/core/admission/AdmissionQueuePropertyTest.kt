package org.anvilshed.core.admission

import io.kotest.core.spec.style.FunSpec
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.fuzz.fuzz
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val COMMANDS = 150

private sealed interface QueueCommand {
    data class Offer(val priority: Int, val remaining: Duration) : QueueCommand

    data object Poll : QueueCommand

    data class PutBack(val index: Int) : QueueCommand

    data class Cancel(val index: Int) : QueueCommand

    data class Served(val time: Duration) : QueueCommand

    data class Resize(val slots: Int) : QueueCommand

    data class Advance(val time: Duration) : QueueCommand

    data object Expire : QueueCommand
}

private fun command(random: Random): QueueCommand = when (random.nextInt(20)) {
    in 0..9 -> QueueCommand.Offer(random.nextInt(4), random.nextInt(3000).milliseconds)
    in 10..12 -> QueueCommand.Poll
    13 -> QueueCommand.PutBack(random.nextInt(100))
    14 -> QueueCommand.Cancel(random.nextInt(100))
    15 -> QueueCommand.Served((1 + random.nextInt(300)).milliseconds)
    16 -> QueueCommand.Resize(random.nextInt(8))
    in 17..18 -> QueueCommand.Advance(random.nextInt(400).milliseconds)
    else -> QueueCommand.Expire
}

/**
 * Reference model of the queue with plain lists. Each request is a number that is at any time in exactly one of
 * [waiting], [polled] and [ended].
 */
private class QueueOracle {
    private val queue = AdmissionQueue<Int>()
    private val waiting = mutableListOf<QueueTicket<Int>>()
    private val polled = mutableListOf<QueueTicket<Int>>()
    private val ended = mutableSetOf<Int>()
    private var now = MonotonicTime(0)
    private var offered = 0
    private var slots = 0
    private var longestService = Duration.ZERO

    fun run(command: QueueCommand) {
        when (command) {
            is QueueCommand.Offer -> offer(command)
            QueueCommand.Poll -> poll()
            is QueueCommand.PutBack -> polled.pick(command.index)?.let {
                polled -= it
                waiting += it
                queue.putBack(it)
            }
            is QueueCommand.Cancel -> (waiting + polled).pick(command.index)?.let {
                check(queue.cancel(it) == waiting.remove(it)) { "cancel of ${it.request} disagrees with the model" }
                if (it !in polled) end(it.request)
            }
            is QueueCommand.Served -> {
                queue.recordServed(command.time)
                longestService = maxOf(longestService, command.time)
            }
            is QueueCommand.Resize -> {
                queue.resize(command.slots)
                slots = command.slots
            }
            is QueueCommand.Advance -> now += command.time
            QueueCommand.Expire -> {
                remove(queue.expire(now))
                check(waiting.all { it.deadline > now }) { "an expired request is still queued" }
            }
        }
        check(queue.size == waiting.size) { "${queue.size} requests wait, expected ${waiting.size}" }
    }

    fun finish() {
        while (queue.size > 0) poll()
        polled.forEach { end(it.request) }
        check(ended.size == offered && waiting.isEmpty()) { "${ended.size} of $offered requests ended" }
    }

    private fun offer(command: QueueCommand.Offer) {
        val priority = command.priority.toDouble()
        val number = offered++
        val deadline = now + command.remaining
        val before = waiting.size
        when (val result = queue.offer(number, priority, deadline, now)) {
            is OfferResult.Queued -> {
                check(deadline > now) { "a request was queued although its deadline had passed" }
                val (replaced, expired) = result.removed.partition { it.reason == RefusalReason.QUEUE_FULL }
                remove(expired)
                replaced.forEach { dropped ->
                    check(dropped.ticket.priority < priority) { "${dropped.ticket.priority} was replaced by $priority" }
                    check(waiting.all { it.priority >= dropped.ticket.priority }) { "a lower priority was kept" }
                }
                remove(replaced)
                waiting += result.ticket
                check(waiting.size <= maxOf(queue.capacity, before)) { "${waiting.size} requests exceed the capacity" }
            }
            is OfferResult.Refused -> {
                remove(result.removed)
                checkRefusal(result, priority, deadline)
                end(number)
            }
        }
    }

    private fun checkRefusal(result: OfferResult.Refused<Int>, priority: Double, deadline: MonotonicTime) {
        check(result.retryAfter.isPositive()) { "the retry time ${result.retryAfter} is not positive" }
        when (result.reason) {
            RefusalReason.QUEUE_FULL -> {
                check(waiting.size >= queue.capacity) { "refused as full below the capacity" }
                check(waiting.all { it.priority >= priority }) { "$priority was refused, a lower one is kept" }
            }
            RefusalReason.DEADLINE_TOO_SHORT -> {
                // The mean is at most the longest time, and only requests of equal or higher priority may be ahead.
                val ahead = waiting.count { it.priority >= priority }
                val latest = now + longestService * (ahead + 1) / slots + longestService
                check(latest > deadline) { "refused although it ends by $latest at the latest" }
            }
            RefusalReason.DEADLINE_PASSED -> check(deadline <= now) { "refused as expired before its deadline" }
            else -> check(result.reason == RefusalReason.NO_SEAT && slots == 0) { "unexpected reason ${result.reason}" }
        }
    }

    private fun poll() {
        val result = queue.poll(now)
        remove(result.removed)
        val next = result.next ?: return check(waiting.isEmpty()) { "${waiting.size} wait, but none was returned" }
        check(next.deadline > now) { "a request was dispatched after its deadline" }
        val best = waiting.minWith(compareBy({ -it.priority }, { it.deadline }, { it.request }))
        check(best === next) { "${next.request} left before ${best.request}" }
        waiting -= next
        polled += next
    }

    private fun remove(removed: List<RemovedRequest<Int>>) = removed.forEach {
        check(waiting.remove(it.ticket)) { "${it.ticket.request} was removed but did not wait" }
        check(it.reason == RefusalReason.QUEUE_FULL || it.ticket.deadline <= now) { "removed before its deadline" }
        end(it.ticket.request)
    }

    private fun end(request: Int) = check(ended.add(request)) { "$request ended twice" }

    private fun <T> List<T>.pick(index: Int): T? = if (isEmpty()) null else this[index % size]
}

class AdmissionQueuePropertyTest :
    FunSpec({
        test("the queue is bounded, loses no request, keeps the order of priority and returns no expired request") {
            fuzz("admission", { random -> List(COMMANDS) { command(random) } }) { commands ->
                val oracle = QueueOracle()
                commands.forEach(oracle::run)
                oracle.finish()
            }
        }
    })
