package org.anvilshed.core.execution

import org.anvilshed.core.Incarnation
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.UnknownReason
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Command to an [AtMostOnceWorld]; its indices are taken modulo the number of items, so any subsequence is valid. */
sealed interface WorldCommand {
    data class Submit(val request: Int, val via: Int, val deadline: Duration) : WorldCommand

    data class Issue(val owner: Int) : WorldCommand

    /**
     * Runs an event. When it reads the clock, up to [overtaking] events of other threads run first if the number is
     * positive, and then the process pauses for [pause].
     */
    data class Step(val event: Int, val pause: Duration, val overtaking: Int) : WorldCommand

    /** Reports an event as lost to its sender; the event still runs later if [arrivesLater]. */
    data class Lose(val event: Int, val arrivesLater: Boolean) : WorldCommand

    data class Advance(val time: Duration) : WorldCommand

    data class Restart(val vm: Int) : WorldCommand

    data class Freeze(val vm: Int, val frozen: Boolean) : WorldCommand

    data class Lease(val vm: Int, val held: Boolean) : WorldCommand

    data class Shed(val shedding: Boolean) : WorldCommand

    data object Expire : WorldCommand
}

/**
 * Simulation of entry VMs with [ExecutionRecords], of their connections to each other and to targets, and of callers.
 *
 * It fails if a request runs twice, or if a caller is told that a request did not run although it ran. Events are
 * processed in any order; each event can be lost, and a process can freeze or be restarted between any two events.
 */
class AtMostOnceWorld(private val limits: ExecutionLimits) {
    private val names = listOf("nbo-a-1", "nbo-a-2", "msa-a-1", "msa-b-1").map { VmName(it) }
    private var nextIncarnation = 1L
    private var now = MonotonicTime(0)
    private val processes = names.map { Process(it) }.toMutableList()
    private val issued = mutableListOf<RequestIdentifier>()
    private val events = mutableListOf<Event>()
    private val executions = mutableMapOf<RequestIdentifier, Int>()
    private var attempts = 0
    private val refusedAttempts = mutableSetOf<Int>()
    private var shedding = false
    private var pause = Duration.ZERO
    private var overtaking = 0
    val unknown = mutableMapOf<UnknownReason, Int>()
    var answered = 0
        private set
    var notRun = 0
        private set

    fun run(command: WorldCommand) {
        when (command) {
            is WorldCommand.Issue -> issue(processes[command.owner % processes.size])
            is WorldCommand.Submit -> submit(command)
            is WorldCommand.Step -> step(command)
            is WorldCommand.Lose -> runnable().pick(command.event)?.let { lose(it, command.arrivesLater) }
            is WorldCommand.Advance -> now += command.time
            is WorldCommand.Restart -> restart(command.vm % processes.size)
            is WorldCommand.Freeze -> processes[command.vm % processes.size].frozen = command.frozen
            is WorldCommand.Lease -> processes[command.vm % processes.size].holdsLease = command.held
            is WorldCommand.Shed -> shedding = command.shedding
            WorldCommand.Expire -> processes.filterNot { it.frozen }.forEach { it.records.expire(now) }
        }
    }

    private fun issue(owner: Process) {
        val window = owner.records.windows.currentWindow(now)
        issued += RequestIdentifier(owner.identity, window, "nonce-%04d".format(issued.size))
    }

    private fun submit(command: WorldCommand.Submit) {
        val identifier = issued.pick(command.request) ?: return
        val attempt = Attempt(attempts++, identifier, now + command.deadline)
        val via = processes[command.via % processes.size]
        val reply: (ExecutionResult) -> Unit = { answerCaller(attempt, it) }
        events += Event(via, "arrive") { via.receive(attempt, reply) }
    }

    private fun step(command: WorldCommand.Step) {
        val event = runnable().pick(command.event) ?: return
        events -= event
        pause = command.pause
        overtaking = command.overtaking
        event.run()
        pause = Duration.ZERO
        overtaking = 0
    }

    private fun lose(event: Event, arrivesLater: Boolean) {
        val onLost = event.onLost ?: return
        if (!arrivesLater) events -= event
        events += Event(event.sender, "lost", run = onLost)
    }

    private fun restart(index: Int) {
        val old = processes[index]
        old.alive = false
        // Messages that the process has already sent may still arrive.
        events.removeAll { it.process === old }
        processes[index] = Process(old.identity.name)
    }

    private fun runnable() = events.filter { event ->
        event.process?.let { it.alive && !it.frozen } != false
    }

    /** Reads the clock of a process; before the reading, other threads may run and the process may be paused. */
    private fun readClock(mayOvertake: Boolean): MonotonicTime {
        if (mayOvertake && overtaking > 0) {
            val steps = overtaking
            overtaking = 0
            overtake(steps)
        }
        now += pause
        if (pause > 60.seconds) processes.forEach { it.records.expire(now) }
        pause = Duration.ZERO
        return now
    }

    /** Runs up to [steps] events of another request: its arrival first, then always the newest event. */
    private fun overtake(steps: Int) {
        val pauseOfThisThread = pause
        pause = Duration.ZERO
        repeat(steps) { step ->
            val next = runnable().filter { it.label != "timer" }
            val event = if (step == 0) next.firstOrNull { it.label == "arrive" } else next.lastOrNull()
            if (event != null) {
                events -= event
                event.run()
            }
        }
        pause = pauseOfThisThread
    }

    /** First reading in [ExecutionRecords.admit]: the pause and other threads come after the reading. */
    private fun readClockThenPause(): MonotonicTime = now.also { readClock(mayOvertake = true) }

    private fun execute(origin: Attempt, process: Process?): Boolean {
        if (shedding) return false
        val count = executions.merge(origin.identifier, 1, Int::plus)
        check(count == 1) { "${origin.identifier} ran $count times (${process?.identity})" }
        check(origin.number !in refusedAttempts) { "attempt ${origin.number} ran after it was refused as not run" }
        return true
    }

    private fun recordNotRun(attempt: Attempt) {
        check(attempt.identifier !in executions) { "${attempt.identifier} ran and was answered as not run" }
        refusedAttempts += attempt.number
    }

    private fun answerCaller(attempt: Attempt, result: ExecutionResult) {
        check(!attempt.answered) { "attempt ${attempt.number} was answered twice" }
        attempt.answered = true
        when (result) {
            is ExecutionResult.Answered -> {
                answered++
                check(result.answer.body.decodeToString() == attempt.identifier.nonce) { "answer of another request" }
            }
            is ExecutionResult.NotRun -> notRun++
            is ExecutionResult.Unknown -> unknown.merge(result.reason, 1, Int::plus)
            ExecutionResult.AnswerNotRetained -> unknown.merge(UnknownReason.ANSWER_NOT_RETAINED, 1, Int::plus)
        }
    }

    private class Attempt(val number: Int, val identifier: RequestIdentifier, val deadline: MonotonicTime) {
        var answered = false
    }

    /** Event in [process], or at a target if [process] is `null`. If the event is lost, [onLost] runs at [sender]. */
    private class Event(
        val process: Process?,
        val label: String,
        val sender: Process? = null,
        val onLost: (() -> Unit)? = null,
        val run: () -> Unit,
    ) {
        override fun toString(): String = "$label@${process?.identity}"
    }

    private inner class Process(name: VmName) {
        val identity = VmIdentity(name, Incarnation(nextIncarnation++))
        val records = ExecutionRecords(identity, IdentifierWindows(now), limits)
        var alive = true
        var frozen = false
        var holdsLease = true

        fun receive(attempt: Attempt, reply: (ExecutionResult) -> Unit) {
            if (attempt.identifier.owner.name != identity.name) return forward(attempt, reply)
            var readings = 0
            val admission = records.admit(attempt.identifier) {
                if (readings++ == 0) readClockThenPause() else readClock(mayOvertake = false)
            }
            when (admission) {
                is ExecutionAdmission.Admitted -> Owned(attempt, admission.execution, once(reply)).start()
                is ExecutionAdmission.Duplicate -> join(attempt, admission.execution, once(reply))
                is ExecutionAdmission.Refused -> {
                    recordNotRun(attempt)
                    reply(ExecutionResult.NotRun(admission.reason))
                }
                is ExecutionAdmission.Unknown -> reply(ExecutionResult.Unknown(admission.reason))
                is ExecutionAdmission.OwnedElsewhere -> error("${identity.name} rejects an identifier of its own name")
            }
        }

        private fun forward(attempt: Attempt, reply: (ExecutionResult) -> Unit) {
            val answer = once(reply)
            val owner = processes.single { it.identity.name == attempt.identifier.owner.name }
            val onLost = { answer(ExecutionResult.Unknown(UnknownReason.OWNER_UNREACHABLE)) }
            events += Event(owner, "owner", this, onLost) {
                owner.receive(attempt) { result -> events += Event(this, "relay", this, onLost) { answer(result) } }
            }
        }

        private fun join(attempt: Attempt, execution: Execution, answer: (ExecutionResult) -> Unit) {
            val subscription = execution.subscribe {
                if (it is ExecutionResult.NotRun) recordNotRun(attempt)
                answer(it)
            }
            whenDeadlinePassed(attempt) {
                subscription.cancel()
                answer(ExecutionResult.Unknown(UnknownReason.STILL_RUNNING))
            }
        }

        fun whenDeadlinePassed(attempt: Attempt, action: () -> Unit) {
            events += Event(this, "timer") {
                if (now >= attempt.deadline) action() else whenDeadlinePassed(attempt, action)
            }
        }

        /** Request that this process admitted, from its queueing to its end. */
        private inner class Owned(val attempt: Attempt, val execution: Execution, answer: (ExecutionResult) -> Unit) {
            init {
                execution.subscribe {
                    if (it is ExecutionResult.NotRun) recordNotRun(attempt)
                    answer(it)
                }
            }

            fun start() {
                queue()
                whenDeadlinePassed(attempt) {
                    if (!execution.refuse(RefusalReason.DEADLINE_PASSED)) {
                        execution.endUnknown(UnknownReason.DEADLINE_PASSED)
                    }
                }
            }

            private fun queue() {
                val onLost: () -> Unit = { execution.refuse(RefusalReason.CANCELLED) }
                events += Event(this@Process, "dispatch", this@Process, onLost, ::dispatch)
            }

            private fun dispatch() {
                val decision = execution.dispatch(attempt.deadline, { readClock(mayOvertake = false) }) {
                    if (holdsLease) null else RefusalReason.NO_SEAT
                }
                when (decision) {
                    is DispatchDecision.Dispatched -> {
                        check(holdsLease) { "dispatched without a valid lease" }
                        check(now < attempt.deadline) { "dispatched after the deadline" }
                        val window = records.windows.stateOf(attempt.identifier.window, now)
                        check(window == WindowState.ACCEPTED) { "dispatched in a window that is $window" }
                        events += Event(this@Process, "send", this@Process) { send(decision.attempt) }
                    }
                    is DispatchDecision.Denied -> execution.refuse(decision.reason)
                    DispatchDecision.AlreadyDispatched, is DispatchDecision.Ended -> Unit
                }
            }

            private fun send(dispatch: Int) {
                val peer = processes[(dispatch + attempt.number) % processes.size].takeIf { it !== this@Process }
                val reason =
                    if (peer == null) UnknownReason.TARGET_CONNECTION_LOST else UnknownReason.PEER_CONNECTION_LOST
                val onLost: () -> Unit = { execution.endUnknown(reason) }
                events += Event(peer, "execute", this@Process, onLost) {
                    if (peer == null) runAtTarget(dispatch, onLost) else peer.relayToTarget(this, dispatch, onLost)
                }
            }

            fun runAtTarget(dispatch: Int, onLost: () -> Unit) {
                val ran = execute(attempt, this@Process)
                events += Event(this@Process, "answer", this@Process, onLost) {
                    if (ran) {
                        complete()
                    } else if (execution.returnNotRun(dispatch)) {
                        queue()
                    }
                }
            }

            private fun complete() {
                execution.complete(RecordedAnswer(200, emptyList(), attempt.identifier.nonce.encodeToByteArray(), null))
            }
        }

        /** Runs a forwarded request at a target of this process, which refuses the request if the target sheds it. */
        private fun relayToTarget(owned: Owned, dispatch: Int, onLost: () -> Unit) {
            events += Event(null, "target", this) { owned.runAtTarget(dispatch, onLost) }
        }
    }

    private fun once(reply: (ExecutionResult) -> Unit): (ExecutionResult) -> Unit {
        var done = false
        return { result ->
            if (!done) {
                done = true
                reply(result)
            }
        }
    }
}

private fun <T> List<T>.pick(index: Int): T? = if (isEmpty()) null else this[index % size]
