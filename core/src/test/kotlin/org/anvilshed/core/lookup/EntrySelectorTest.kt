package org.anvilshed.core.lookup

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.shouldBe
import org.anvilshed.core.Incarnation
import org.anvilshed.core.RegionName
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName

private fun candidate(name: String, weight: Double = 1.0): EntryCandidate {
    val zone = name.substringBeforeLast('-')
    return EntryCandidate(
        VmIdentity(VmName(name), Incarnation(1)),
        ZoneName(zone),
        RegionName(zone.substringBefore('-')),
        "http://127.0.0.1:1",
        identifierWindow = 42,
        weight,
    )
}

private val chokaa = listOf("nbo-a-1", "nbo-a-2", "nbo-b-1", "msa-a-1", "msa-b-1", "ksm-a-1", "ksm-b-1").map {
    candidate(it)
}

class EntrySelectorTest :
    FunSpec({
        test("without candidates nothing is selected") {
            EntrySelector(emptyList()).select(1, null, null, 3).shouldBeEmpty()
        }

        test("a weight of zero is rejected") {
            shouldThrow<IllegalArgumentException> { EntrySelector(listOf(candidate("nbo-a-1", weight = 0.0))) }
        }

        test("the token consists of name, incarnation and identifier window") {
            candidate("nbo-a-1").token shouldBe "nbo-a-1.0000000000000001.42"
        }

        test("the preferred zone comes first, then another zone of the region, then another region") {
            val names = EntrySelector(chokaa).select(5, RegionName("msa"), ZoneName("msa-b"), 3).map { it.zone.value }
            names.take(2) shouldBe listOf("msa-b", "msa-a")
            names[2].startsWith("msa") shouldBe false
        }

        // Guards against an answer in which the loss of one zone makes every entry VM unusable.
        test("entry VMs come from different zones if the region has several") {
            for (key in 0L until 200L) {
                val zones = EntrySelector(chokaa).select(key, RegionName("nbo"), null, 2).map { it.zone.value }
                zones.toSet() shouldBe setOf("nbo-a", "nbo-b")
            }
        }

        test("callers are distributed in proportion to the weights") {
            val selector =
                EntrySelector(listOf(candidate("nbo-a-1", weight = 3.0), candidate("nbo-b-1", weight = 1.0)))
            val heavy = (0L until 10_000L).count { selector.select(it, null, null, 1).single().zone.value == "nbo-a" }
            (heavy / 10_000.0).shouldBeBetween(0.72, 0.78, 0.0)
        }

        test("the loss of one VM moves only its own callers") {
            val full = EntrySelector(chokaa)
            val reduced = EntrySelector(chokaa.drop(1))
            for (key in 0L until 1_000L) {
                val before = full.select(key, null, null, 1).single()
                if (before != chokaa.first()) reduced.select(key, null, null, 1).single() shouldBe before
            }
        }
    })
