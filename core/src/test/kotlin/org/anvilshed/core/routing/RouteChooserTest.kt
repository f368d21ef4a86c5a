package org.anvilshed.core.routing

import com.sun.management.ThreadMXBean
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.RegionName
import org.anvilshed.core.bundle.DesiredTargetState
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val FREE = RouteLimits({ null }, { _, _ -> null })

private fun chooser(local: RefusalReason? = null, move: RefusalReason? = null) =
    RouteChooser(RouteLimits({ local }, { _, _ -> move }))

private fun limitedTo(free: (TargetState) -> Boolean, move: (RegionName) -> RefusalReason?) = RouteChooser(
    RouteLimits({ if (free(it)) null else RefusalReason.NO_SLOT }, { _, to -> move(to) }),
)

private fun PeerRouteRegistry.reportAll(free: Int, locations: List<PeerLocation>) =
    locations.forEach { route(it).recordReport(free, WARM) }

class RouteChooserTest :
    FunSpec({
        val locations = listOf(peer("nbo-a", 2), peer("nbo-b"), peer("msa-a"), peer("ksm-a"))

        test("destinations are tried in order: own zone, its peers, other zones, planned moves, other regions, queue") {
            val targets = registry(target(1), target(1, NBO_B))
            val known = peers(*locations.toTypedArray())
            known.reportAll(1, locations)
            val plan = plan(targets, known, PlannedMove(MSA) { 0.0 })
            var slotsLeft = 2
            val chooser = limitedTo({ slotsLeft-- > 0 && (slotsLeft == 0) == (it.zone == NBO_B) }, { null })
            val chosen = List(7) {
                when (val decision = chooser.route(plan, routeRequest())) {
                    is RouteDecision.LocalTarget -> decision.target.name.value
                    is RouteDecision.Peer -> "${decision.peer.vm.name} moved to ${decision.movedTo}"
                    else -> decision.toString()
                }
            }
            chosen.take(2) shouldContainExactly listOf("booking-nbo-a-1", "nbo-a-2 moved to null")
            chosen.drop(2) shouldContainExactly listOf(
                "nbo-b-1 moved to null",
                "msa-a-1 moved to msa",
                "ksm-a-1 moved to ksm",
                "Queue",
                "Queue",
            )
        }

        test("slots that this VM owns in another zone come before that zone's peers") {
            val targets = registry(target(1), target(1, NBO_B))
            val known = peers(peer("nbo-b"))
            val chooser = RouteChooser(
                RouteLimits({ if (it.zone == NBO_A) RefusalReason.NO_SEAT else null }, { _, _ -> null }),
            )
            chooser.route(plan(targets, known), routeRequest()) shouldBe
                RouteDecision.LocalTarget(targets.state(1, NBO_B))
        }

        test("a planned move gets its fraction of requests, which stay in the own region when the move is refused") {
            val targets = registry(*Array(200) { target(it) })
            val known = peers(peer("msa-a"), peer("ksm-a"))
            val plan = plan(targets, known, PlannedMove(MSA) { 0.25 })
            val moved = (0 until 400).count {
                known.route(peer("msa-a")).recordReport(1, WARM)
                val decision = RouteChooser(FREE).route(plan, routeRequest(seed = it))
                (decision as? RouteDecision.Peer)?.movedTo == MSA
            }
            (moved in 70..130) shouldBe true
            val refused = chooser(move = RefusalReason.SHIFT_CAP)
            val capped = (0 until 200).map { refused.route(plan, routeRequest(seed = it)) }
            capped.all { it is RouteDecision.LocalTarget } shouldBe true
            known.route(peer("msa-a")).inFlight shouldBe moved
        }

        test("a refused move leaves no request in flight at the peer, and only the shift cap ends the search") {
            val known = peers(peer("msa-a"), peer("ksm-a"))
            known.reportAll(1, listOf(peer("msa-a"), peer("ksm-a")))
            val asked = mutableListOf<RegionName>()
            fun route(reason: RefusalReason): RouteDecision {
                asked.clear()
                val chooser = limitedTo({ false }) { to ->
                    asked += to
                    reason.takeIf { to == KSM }
                }
                return chooser.route(plan(registry(), known), routeRequest())
            }
            route(RefusalReason.SHIFT_CAP) shouldBe RouteDecision.Refuse(RefusalReason.SHIFT_CAP)
            asked shouldBe listOf(KSM)
            route(RefusalReason.LINK_LIMIT).shouldBeInstanceOf<RouteDecision.Peer>().movedTo shouldBe MSA
            known.route(peer("ksm-a")).inFlight shouldBe 0
        }

        test("a refusal states the missing resource, and a request is queued only if a target can become free") {
            val staying = registry(target(1))
            val leaving = registry(target(1, intent = DesiredTargetState.LEAVING))
            val none = peers()
            fun decide(targets: TargetRegistry, local: RefusalReason?, mayForward: Boolean = true) =
                chooser(local).route(plan(targets, none), routeRequest(mayForward = mayForward))
            decide(registry(), null) shouldBe RouteDecision.Refuse(RefusalReason.NO_TARGET)
            decide(leaving, null) shouldBe RouteDecision.Refuse(RefusalReason.NO_TARGET)
            decide(staying, RefusalReason.NO_SEAT) shouldBe RouteDecision.Refuse(RefusalReason.NO_SEAT)
            decide(staying, RefusalReason.NO_SLOT) shouldBe RouteDecision.Queue
            decide(staying, RefusalReason.REGION_LIMIT) shouldBe RouteDecision.Queue
            // A forwarded request is neither queued nor forwarded again.
            decide(staying, RefusalReason.NO_SLOT, mayForward = false) shouldBe
                RouteDecision.Refuse(RefusalReason.NO_SLOT)
            staying.state(1).inFlight shouldBe 0
        }

        test("the less loaded of two targets is chosen, with equal load the faster one, and never the avoided one") {
            val targets = registry(target(1), target(2))
            val (first, second) = List(2) { targets.state(it + 1) }
            val plan = plan(targets, peers())
            fun chosen(avoid: TargetState? = null): Set<TargetState> = (0 until 50).mapNotNullTo(mutableSetOf()) {
                val decision = RouteChooser(FREE).route(plan, routeRequest(avoidTarget = avoid, seed = it))
                (decision as? RouteDecision.LocalTarget)?.target?.also { target -> target.end() }
            }
            chosen(avoid = second) shouldBe setOf(first)
            first.recordHealth(TargetProbeResult.READY, ReportedLoad(4, 3, WARM), WARM)
            second.recordHealth(TargetProbeResult.READY, ReportedLoad(4, 0, WARM), WARM)
            val counts = (0 until 400).groupingBy {
                val decision = RouteChooser(FREE).route(plan, routeRequest(seed = it))
                decision.shouldBeInstanceOf<RouteDecision.LocalTarget>().target.also { it.end() }.name
            }.eachCount()
            // In a quarter of all cases both random choices are the first target.
            (counts.getValue(first.name) in 60..140) shouldBe true
        }

        test("a peer gets at most the reported free slots, fewer as the report ages, and one probe when silent") {
            val location = peer("nbo-b")
            val known = peers(location)
            val route = known.route(location)
            fun sent(now: MonotonicTime): Int = generateSequence { route.tryBegin(now).takeIf { it } }.count()
            fun endAll() = repeat(route.inFlight) { route.end() }
            sent(WARM) shouldBe 1
            sent(WARM) shouldBe 0
            endAll()
            sent(WARM) shouldBe 1
            endAll()
            route.recordReport(4, WARM)
            sent(WARM) shouldBe 4
            endAll()
            // Ended requests do not change the report; only the next report shows that slots are free again.
            sent(WARM + 400.milliseconds) shouldBe 0
            route.recordReport(4, WARM)
            sent(WARM + 2750.milliseconds) shouldBe 2
            sent(WARM + 5.seconds) shouldBe 0
            endAll()
            sent(WARM + 5.seconds) shouldBe 1
            endAll()
            route.recordRefused(WARM + 5.seconds)
            sent(WARM + 6.seconds) shouldBe 0
            route.recordReport(4, WARM + 6.seconds)
            known.setUsable(location.vm, false)
            sent(WARM + 6.seconds) shouldBe 0
        }

        test("a peer that is no longer listed is not chosen by a plan that was built before") {
            val location = peer("nbo-b")
            val known = peers(location)
            val plan = plan(registry(), known)
            known.applyPeers(emptyList(), listOf(BOOKING))
            RouteChooser(FREE).route(plan, routeRequest()) shouldBe RouteDecision.Refuse(RefusalReason.NO_TARGET)
        }

        // The bound is the same for 72 and 720 sites, so it cannot grow with their number.
        test("a decision over 720 full sites allocates no more than one over 72") {
            val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
            for (sites in listOf(72, 720)) {
                val targets = registry(*Array(sites / 2) { target(it) })
                val remote = List(sites / 2) { peer("msa-a", it) }
                val known = peers(*remote.toTypedArray())
                known.reportAll(0, remote)
                val plan = plan(targets, known)
                val chooser = chooser(local = RefusalReason.NO_SLOT)
                val random = Random(1)
                var now = WARM
                fun decide(): RouteDecision {
                    now += 100.microseconds
                    return chooser.route(plan, RouteRequest(now, WALL, random))
                }
                repeat(20_000) { decide() shouldBe RouteDecision.Queue }
                val rounds = 10_000
                val batches = 10
                val before = threads.currentThreadAllocatedBytes
                val nanoseconds = List(batches) {
                    val started = System.nanoTime()
                    repeat(rounds) { decide() }
                    (System.nanoTime() - started) / rounds
                }
                val bytes = (threads.currentThreadAllocatedBytes - before) / (batches * rounds)
                // The time is printed, not asserted, since a busy machine can exceed any bound.
                println("route over $sites full sites: fastest batch ${nanoseconds.min()} ns a call, $bytes bytes")
                bytes shouldBeLessThan 300
            }
        }
    })
