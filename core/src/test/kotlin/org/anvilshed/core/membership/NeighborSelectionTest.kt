package org.anvilshed.core.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName

private fun fleet(zones: Int, perZone: Int): List<PeerContact> = (0 until zones).flatMap { zone ->
    (0 until perZone).map { PeerContact(VmName("z$zone-$it"), ZoneName("z$zone"), "127.0.0.1:1") }
}

private fun neighbors(self: PeerContact, fleet: List<PeerContact>): List<PeerContact> {
    val others = fleet - self
    return selectNeighbors(self, others, others)
}

class NeighborSelectionTest :
    FunSpec({
        test("with up to 8 peers all of them are neighbors, including silent ones") {
            val others = fleet(3, 3).drop(1)
            selectNeighbors(fleet(3, 3).first(), others, candidates = emptyList()) shouldContainExactlyInAnyOrder others
            neighbors(fleet(1, 1).first(), fleet(1, 1)).shouldBeEmpty()
        }

        test("with more than 8 peers 6 neighbors are in the zone and 2 elsewhere, or more elsewhere for a small zone") {
            val fleet = fleet(3, 10)
            for (self in fleet) {
                val chosen = neighbors(self, fleet)
                chosen.count { it.zone == self.zone } shouldBe 6
                chosen.count { it.zone != self.zone } shouldBe 2
                chosen.toSet() shouldHaveSize 8
            }
            neighbors(fleet(10, 1).first(), fleet(10, 1)) shouldHaveSize 8
        }

        test("the selection does not depend on the order in which the peers became known") {
            val fleet = fleet(3, 10)
            neighbors(fleet.first(), fleet.shuffled()) shouldContainExactly neighbors(fleet.first(), fleet)
            val names = fleet.map { it.name }
            selectWatchers(ZoneName("z"), names.shuffled()) shouldContainExactly selectWatchers(ZoneName("z"), names)
        }

        test("the loss of one VM replaces it in the selections that contained it and changes no others") {
            val fleet = fleet(4, 25)
            val lost = fleet[30]
            for (self in fleet - lost) {
                val before = neighbors(self, fleet).toSet()
                val after = neighbors(self, fleet - lost).toSet()
                (before - after) shouldBe if (lost in before) setOf(lost) else emptySet()
            }
            val names = fleet.map { it.name }
            val watchers = selectWatchers(ZoneName("z1"), names)
            selectWatchers(ZoneName("z1"), names - watchers[0]).first() shouldBe watchers[1]
            selectWatchers(ZoneName("z1"), names - names.first { it !in watchers }) shouldContainExactly watchers
        }

        test("the selections are distributed evenly, so that no VM receives the heartbeats of too many others") {
            val fleet = fleet(10, 40)
            val received = fleet.flatMap { neighbors(it, fleet) }.groupingBy { it.name }.eachCount()
            // 8 on average; 25 is more than 5 standard deviations above it.
            received.values.max() shouldBeLessThanOrEqual 25
            val watchers = (0 until 2_000).flatMap {
                selectWatchers(ZoneName("z$it"), fleet.take(10).map { vm -> vm.name })
            }
            for (count in watchers.groupingBy { it }.eachCount().values) count shouldBeInRange 320..480
        }

        test("a zone with one VM has one watcher") {
            selectWatchers(ZoneName("z"), emptyList()).shouldBeEmpty()
            selectWatchers(ZoneName("z"), listOf(VmName("a"), VmName("a"))) shouldContainExactly listOf(VmName("a"))
        }
    })
