package org.anvilshed.core.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.admission.AdmissionQueue
import org.anvilshed.core.admission.OfferResult
import org.anvilshed.core.admission.RemovedRequest
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** A request of a trace. All times are in milliseconds. */
private class TracedRequest(
    val name: String,
    val priority: Double,
    val deadline: Long,
    val work: Long,
    val expected: String,
)

private class Work(val end: Long, val order: Int, val request: TracedRequest, val decision: RouteDecision)

/**
 * Replays a trace through [RouteChooser] and [AdmissionQueue] as an entry VM uses them. The expected outcomes in the
 * trace files were computed by a separate model of sections 9.4 to 9.6 of the design, not by this code.
 */
private class Replay(targets: Int, private val owned: Int) {
    val outcomes = mutableMapOf<String, String>()
    private val registry = registry(*Array(targets) { target(it + 1) })
    private val location = peer("nbo-a", 2)
    private val known = peers(location).also { it.setUsable(location.vm, false) }
    private val plan = plan(registry, known)
    private val queue = AdmissionQueue<TracedRequest>()
    private val used = mutableMapOf<TargetState, Int>()
    private val work = PriorityQueue<Work>(compareBy({ it.end }, { it.order }))
    private val random = Random(1)
    private var started = 0
    private val chooser = RouteChooser(
        RouteLimits({ target ->
            if ((used[target] ?: 0) < owned) null.also { used.merge(target, 1, Int::plus) } else RefusalReason.NO_SLOT
        }, { _, _ -> null }),
    )

    init {
        resize()
    }

    fun event(now: Long, words: List<String>) {
        completeUntil(now)
        when (words[0]) {
            "arrive" -> arrive(now, tracedRequest(words))
            "peer" -> {
                known.setUsable(location.vm, true)
                known.route(location).recordReport(words[1].toInt(), at(now))
                poll(now)
            }
            "peer-lost" -> known.setUsable(location.vm, false)
            "draining" -> {
                registry.state(words[1].toInt()).recordDrainingAnswer()
                resize()
                poll(now)
            }
            else -> error("unknown event $words in the trace")
        }
    }

    fun completeUntil(now: Long) {
        while (work.isNotEmpty() && work.peek().end <= now) complete(work.remove())
    }

    fun finish() {
        completeUntil(Long.MAX_VALUE)
        removed(queue.expire(MonotonicTime(Long.MAX_VALUE)))
    }

    private fun tracedRequest(words: List<String>): TracedRequest {
        val fields = words.drop(2).associate { it.substringBefore('=') to it.substringAfter('=') }
        fun number(name: String) = fields.getValue(name).toLong()
        val expected = fields.getValue("expect")
        return TracedRequest(words[1], number("worth").toDouble(), number("deadline"), number("work"), expected)
    }

    private fun arrive(now: Long, request: TracedRequest) {
        when (val decision = decide(now)) {
            RouteDecision.Queue -> {
                val deadline = at(now + request.deadline)
                val result = queue.offer(request, request.priority, deadline, at(now))
                removed(result.removed)
                if (result is OfferResult.Refused) notRun(request, result.reason)
            }
            is RouteDecision.Refuse -> notRun(request, decision.reason)
            else -> start(now, request, decision)
        }
    }

    private fun poll(now: Long) {
        while (true) {
            val result = queue.poll(at(now))
            removed(result.removed)
            val ticket = result.next ?: return
            when (val decision = decide(now)) {
                RouteDecision.Queue -> return queue.putBack(ticket)
                is RouteDecision.Refuse -> notRun(ticket.request, decision.reason)
                else -> start(now, ticket.request, decision)
            }
        }
    }

    private fun start(now: Long, request: TracedRequest, decision: RouteDecision) {
        work += Work(now + request.work, started++, request, decision)
    }

    private fun complete(done: Work) {
        when (val decision = done.decision) {
            is RouteDecision.LocalTarget -> {
                used.merge(decision.target, -1, Int::plus)
                decision.target.end()
                queue.recordServed(done.request.work.milliseconds)
                outcomes[done.request.name] = "target:${done.end}"
            }
            is RouteDecision.Peer -> {
                decision.peer.end()
                outcomes[done.request.name] = "peer:${done.end}"
            }
            else -> error("a request with the decision $decision has no work to complete")
        }
        poll(done.end)
    }

    private fun decide(now: Long) = chooser.route(plan, RouteRequest(at(now), WALL, random))

    private fun removed(requests: List<RemovedRequest<TracedRequest>>) =
        requests.forEach { notRun(it.ticket.request, it.reason) }

    private fun notRun(request: TracedRequest, reason: RefusalReason) {
        outcomes[request.name] = "not-run:${reason.label}"
    }

    private fun resize() = queue.resize(owned * registry.table.targets.count { !it.isLeaving(WALL) })

    private fun at(milliseconds: Long) = WARM + milliseconds.milliseconds
}

class TraceReplayTest :
    FunSpec({
        for (trace in listOf("morning-peak", "evening-peak", "evening-fault")) {
            test("each request of the trace $trace has the outcome that the file expects") {
                val text = checkNotNull(TraceReplayTest::class.java.getResource("/traces/$trace.txt")).readText()
                val lines = text.lines().filter { it.isNotBlank() && !it.startsWith("#") }.map { it.split(' ') }
                val (targets, owned) = lines[0].drop(1).map { it.substringAfter('=').toInt() }
                val replay = Replay(targets, owned)
                lines.drop(1).forEach { replay.event(it[0].toLong(), it.drop(1)) }
                replay.finish()
                val expected = lines.filter { it[1] == "arrive" }.associate { it[2] to it.last().substringAfter('=') }
                replay.outcomes shouldBe expected
            }
        }
    })
