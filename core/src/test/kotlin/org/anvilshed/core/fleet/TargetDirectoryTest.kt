package org.anvilshed.core.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ServiceName
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.ZoneName
import kotlin.time.Duration.Companion.seconds

private fun target(name: String, draining: Boolean = false) = RegisteredTarget(
    key = TargetKey(name, 1),
    service = ServiceName("service"),
    address = SocketAddress("127.0.0.1", 80),
    zone = ZoneName("zone"),
    slots = 1,
    draining = draining,
    coldUntil = MonotonicTime(0),
)

class TargetDirectoryTest :
    FunSpec({
        val start = MonotonicTime(1_000)

        test("an entry removed while the store is reachable is dropped at once, so its target gets no more requests") {
            val directory = TargetDirectory()
            directory.replaceAll(listOf(target("a"), target("b")), mayReturnUntil = null)
            directory.remove("a", mayReturnUntil = null)
            directory.targets.map { it.key.name } shouldContainExactly listOf("b")
            directory.replaceAll(emptyList(), mayReturnUntil = null)
            directory.targets.size shouldBe 0
        }

        test("entries that lapsed while the store was unreachable are kept until their targets had time to register") {
            val directory = TargetDirectory()
            directory.replaceAll(listOf(target("a"), target("b"), target("c")), mayReturnUntil = null)
            directory.replaceAll(listOf(target("c")), mayReturnUntil = start + 2.seconds)
            directory.targets.size shouldBe 3
            directory.put(target("a"))
            directory.expire(start + 1.seconds) shouldBe emptyList()
            directory.expire(start + 2.seconds) shouldContainExactly listOf("b")
            directory.targets.map { it.key.name }.toSet() shouldBe setOf("a", "c")
        }

        test("the entry of a draining target that disappears while the store is unreachable is dropped at once") {
            val directory = TargetDirectory()
            directory.replaceAll(listOf(target("a", draining = true)), mayReturnUntil = null)
            directory.replaceAll(emptyList(), mayReturnUntil = start + 2.seconds)
            directory.targets.size shouldBe 0
        }

        test("targets of a zone that is no longer evacuated count as cold for a while") {
            val directory = TargetDirectory()
            val zone = ZoneName("zone")
            directory.replaceEvacuations(setOf(zone), 3.seconds, mayBeLost = false, start)
            directory.coldUntilOrNull(zone) shouldBe null
            directory.replaceEvacuations(emptySet(), 3.seconds, mayBeLost = false, start + 1.seconds)
            directory.coldUntilOrNull(zone) shouldBe start + 4.seconds
        }

        test("an evacuation that a restored store lacks holds for a while, and its targets count as cold after it") {
            val directory = TargetDirectory()
            val zone = ZoneName("zone")
            directory.replaceEvacuations(setOf(zone), 3.seconds, mayBeLost = false, start)
            directory.replaceEvacuations(emptySet(), 3.seconds, mayBeLost = true, start)
            directory.expire(start + 4.seconds) shouldBe emptyList()
            directory.evacuatedZones shouldBe setOf(zone)
            directory.expire(start + 5.seconds) shouldBe listOf("zone")
            directory.evacuatedZones shouldBe emptySet()
            directory.coldUntilOrNull(zone) shouldBe start + 8.seconds
        }

        test("an evacuation that was lost and written again ends only when the operator ends it") {
            val directory = TargetDirectory()
            val zone = ZoneName("zone")
            directory.replaceEvacuations(setOf(zone), 3.seconds, mayBeLost = false, start)
            directory.replaceEvacuations(emptySet(), 3.seconds, mayBeLost = true, start)
            directory.replaceEvacuations(setOf(zone), 3.seconds, mayBeLost = false, start + 1.seconds)
            directory.expire(start + 10.seconds) shouldBe emptyList()
            directory.evacuatedZones shouldBe setOf(zone)
            directory.replaceEvacuations(emptySet(), 3.seconds, mayBeLost = false, start + 11.seconds)
            directory.evacuatedZones shouldBe emptySet()
            directory.coldUntilOrNull(zone) shouldBe start + 14.seconds
        }

        test(
            "a target that said that it leaves gets no more requests, whatever its entry says, but its next run does",
        ) {
            val directory = TargetDirectory()
            directory.replaceAll(listOf(target("a")), mayReturnUntil = null)
            directory.recordLeaving(TargetKey("a", 1), start) shouldBe true
            directory.recordLeaving(TargetKey("a", 1), start) shouldBe false
            directory.recordLeaving(TargetKey("unknown", 1), start) shouldBe false
            directory.targets.single().draining shouldBe true
            directory.put(target("a"))
            directory.replaceAll(listOf(target("a")), mayReturnUntil = null)
            directory.expire(start + 90.seconds)
            directory.targets.single().draining shouldBe true
            directory.remove("a", mayReturnUntil = start + 95.seconds)
            directory.targets.size shouldBe 0
            directory.put(target("a").copy(key = TargetKey("a", 2)))
            directory.targets.single().draining shouldBe false
        }

        test("the older entry of a target that said that it leaves does not revive it after its removal") {
            val directory = TargetDirectory()
            directory.put(target("a"))
            directory.recordLeaving(TargetKey("a", 1), start)
            directory.remove("a", mayReturnUntil = null)
            directory.expire(start + 30.seconds)
            directory.put(target("a"))
            directory.targets.single().draining shouldBe true
        }

        // Guards against a response that arrives after the removal of the entry and is forgotten.
        test("a target that says that it leaves after its entry was removed is not used when an older entry returns") {
            val directory = TargetDirectory()
            directory.put(target("a"))
            directory.remove("a", mayReturnUntil = null)
            directory.recordLeaving(TargetKey("a", 1), start)
            directory.put(target("a"))
            directory.targets.single().draining shouldBe true
        }

        // Guards against news that are forgotten at once when a target that took long to leave is removed.
        test("a target that left long after it said so is not used when an older entry returns after its removal") {
            val directory = TargetDirectory()
            directory.put(target("a"))
            directory.recordLeaving(TargetKey("a", 1), start)
            directory.expire(start + 100.seconds)
            directory.remove("a", mayReturnUntil = null)
            directory.expire(start + 130.seconds)
            directory.put(target("a"))
            directory.targets.single().draining shouldBe true
        }

        test("a request does not reach the former run of a name, and its next run is not the one that left") {
            val directory = TargetDirectory()
            directory.put(target("a"))
            directory.recordLeaving(TargetKey("a", 1), start)
            directory.put(target("a").copy(key = TargetKey("a", 2)))
            directory.targets.map { it.key to it.draining } shouldContainExactly listOf(TargetKey("a", 2) to false)
        }
    })
