package org.anvilshed.core.routing

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeSameInstanceAs
import io.kotest.matchers.types.shouldNotBeSameInstanceAs
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.VmName
import org.anvilshed.core.bundle.DesiredTargetState
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

private val START = MonotonicTime(0)
private val PEER = VmName("nbo-a-2")

class TargetStateTest :
    FunSpec({
        test("the weight of a report falls from 1 at 0.5 s to 0 at 5 s") {
            val ages = listOf(-1, 0, 500, 2750, 5000, 9000)
            ages.map { reportWeight(it.milliseconds) } shouldBe listOf(1.0, 1.0, 1.0, 0.5, 0.0, 0.0)
        }

        // Missing measurements must not look like low load.
        test("a stale report counts as full load and as no free slot") {
            val report = ReportedLoad(limit = 4, load = 1, START)
            report.estimatedLoad(START + 500.milliseconds) shouldBe 1.0
            report.estimatedLoad(START + 2750.milliseconds) shouldBe (2.5 plusOrMinus 1e-9)
            report.estimatedLoad(START + 5.seconds) shouldBe 4.0
            ReportedLoad(4, 9, START).estimatedLoad(START + 5.seconds) shouldBe 9.0
            report.estimatedFreeSlots(START) shouldBe 3
            report.estimatedFreeSlots(START + 2750.milliseconds) shouldBe 1
            report.estimatedFreeSlots(START + 5.seconds) shouldBe 0
        }

        test("a new target starts with one request and gains one each second") {
            val state = registry(target(1, slots = 3)).state(1)
            val limits = listOf(0, 999, 1000, 2000, 60_000).map { state.slowStartLimit(START + it.milliseconds) }
            limits shouldBe listOf(1, 1, 2, 3, 4)
            state.recordHealth(TargetProbeResult.COLD, null, WARM)
            state.slowStartLimit(WARM + 100.seconds) shouldBe 1
            state.recordHealth(TargetProbeResult.READY, null, WARM + 100.seconds)
            state.slowStartLimit(WARM + 101.seconds) shouldBe 2
        }

        test("five consecutive failures eject for 5 s, and each further ejection lasts twice as long, up to 60 s") {
            val state = registry(target(1), target(2), target(3)).state(1)
            var now = WARM
            for (ejection in listOf(5, 10, 20, 40, 60, 60)) {
                repeat(4) { state.recordFailure(now) }
                state.isEjected(now) shouldBe false
                state.recordFailure(now)
                now += ejection.seconds
                state.isEjected(now - 1.nanoseconds) shouldBe true
                state.isEjected(now) shouldBe false
                state.slowStartLimit(now) shouldBe 1
            }
            now += 60.seconds
            repeat(5) { state.recordFailure(now) }
            state.isEjected(now + 5.seconds) shouldBe false
        }

        test("a target is ejected when half of at least ten requests failed") {
            val state = registry(target(1), target(2), target(3)).state(1)
            repeat(4) {
                state.recordFailure(WARM)
                state.recordSuccess(1.milliseconds)
            }
            state.recordSuccess(1.milliseconds)
            state.isEjected(WARM) shouldBe false
            state.recordFailure(WARM)
            state.isEjected(WARM) shouldBe true
        }

        test("at most a third of the targets of a zone is ejected at a time") {
            val registry = registry(*Array(8) { target(it) }, target(1, NBO_B))
            val states = List(8) { registry.state(it) } + registry.state(1, NBO_B)
            states.forEach { state -> repeat(20) { state.recordFailure(WARM) } }
            states.map { it.isEjected(WARM) } shouldBe List(9) { it < 2 }
        }

        // A target that fails at once has nothing in flight and would otherwise attract all requests.
        test("a failing target that may not be ejected counts as loaded until a request succeeds or 5 s pass") {
            val state = registry(target(1)).state(1)
            val before = state.score(WARM)
            repeat(12) { state.recordFailure(WARM) }
            state.isEjected(WARM) shouldBe false
            state.score(WARM) shouldBe before + 8
            state.score(WARM + 5.seconds) shouldBe before
            state.recordSuccess(1.milliseconds)
            state.score(WARM) shouldBe before
        }

        test("each source alone marks a target as leaving, and only the same source removes the mark") {
            val registry = registry(target(1))
            val state = registry.state(1)
            for (source in LeavingSource.entries - LeavingSource.PLANNED_TIME) {
                state.markLeaving(source)
                state.dispatchRefusalOrNull(WALL) shouldBe RefusalReason.NO_TARGET
                state.leavingSources shouldBe setOf(source)
                state.unmarkLeaving(source)
                state.dispatchRefusalOrNull(WALL) shouldBe null
            }
        }

        test("a planned time takes effect in its nanosecond and stays in effect when the wall clock steps back") {
            val registry = registry(target(1, leavesAt = WALL))
            val state = registry.state(1)
            state.isLeaving(WALL - 1.nanoseconds) shouldBe false
            state.isLeaving(WALL) shouldBe true
            state.isLeaving(WALL - 60.seconds) shouldBe true
            state.leavingSources shouldBe setOf(LeavingSource.PLANNED_TIME)
            registry.applyBundle(bundle(listOf(target(1, leavesAt = WALL + 60.seconds))), WARM)
            state.isLeaving(WALL) shouldBe false
        }

        test("a bundle keeps the objects of known targets and marks all others as leaving") {
            val registry = registry(target(1), target(2), target(3))
            val states = List(3) { registry.state(it + 1) }
            val leaving = target(1, intent = DesiredTargetState.LEAVING)
            registry.applyBundle(bundle(listOf(leaving, target(2, address = "127.0.0.1:1"))), WARM)
            registry.state(1) shouldBeSameInstanceAs states[0]
            registry.state(2) shouldNotBeSameInstanceAs states[1]
            states.map { it.leavingSources } shouldBe
                listOf(setOf(LeavingSource.BUNDLE), setOf(LeavingSource.REMOVED), setOf(LeavingSource.REMOVED))
            registry.state(2).isLeaving(WALL) shouldBe false
        }

        test("marks of the VM list and of peers are replaced, and apply to targets that a bundle adds later") {
            val registry = registry(target(1))
            registry.applyVmList(setOf(targetName(1), targetName(2)))
            registry.applyPeerAnnouncement(PEER, setOf(targetName(1), targetName(3)))
            registry.applyBundle(bundle(listOf(target(1), target(2), target(3))), WARM)
            List(3) { registry.state(it + 1).leavingSources } shouldBe listOf(
                setOf(LeavingSource.VM_LIST, LeavingSource.PEER),
                setOf(LeavingSource.VM_LIST),
                setOf(LeavingSource.PEER),
            )
            // A mark from peers is not announced again, or two VMs would keep each other's mark for ever.
            registry.observedDraining() shouldBe emptySet()
            registry.applyVmList(emptySet())
            registry.applyPeerAnnouncement(PEER, emptySet())
            registry.table.targets.none { it.isLeaving(WALL) } shouldBe true
        }

        test("a draining answer takes precedence over health reports until the target shows signs of a restart") {
            val registry = registry(target(1))
            val state = registry.state(1)
            val readings = generateSequence(WARM) { it + 1.seconds }.iterator()
            fun health(health: TargetProbeResult) = state.recordHealth(health, null, readings.next())
            health(TargetProbeResult.UNREACHABLE)
            state.recordDrainingAnswer()
            registry.observedDraining() shouldBe setOf(targetName(1))
            health(TargetProbeResult.READY)
            state.isLeaving(WALL) shouldBe true
            health(TargetProbeResult.UNREACHABLE)
            state.isLeaving(WALL) shouldBe true
            health(TargetProbeResult.READY)
            state.isLeaving(WALL) shouldBe false
            health(TargetProbeResult.DRAINING)
            state.recordHealth(TargetProbeResult.READY, null, WARM)
            state.isLeaving(WALL) shouldBe true
            health(TargetProbeResult.COLD)
            state.isLeaving(WALL) shouldBe false
        }

        test("ending a request that is not in flight throws") {
            shouldThrow<IllegalStateException> { registry(target(1)).state(1).end() }
        }
    })
