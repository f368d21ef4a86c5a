package org.anvilshed.core.bundle

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import org.anvilshed.core.KindName
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.TargetName
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private fun valid(text: String): Bundle = parseBundle(text).shouldBeInstanceOf<BundleParseResult.Valid>().bundle

private fun faults(text: String): List<BundleFault> =
    parseBundle(text).shouldBeInstanceOf<BundleParseResult.Invalid>().faults

private fun faultPaths(replaced: String, by: String): List<String> {
    val document = sampleDocument()
    document shouldContain replaced
    return faults(document.replaceFirst(replaced, by)).map { it.path }
}

class BundleParserTest :
    FunSpec({
        test("the sample document is valid") {
            val bundle = valid(sampleDocument())
            bundle.version shouldBe 12
            bundle.lookupTimeToLive shouldBe 5.seconds
            bundle.regions.getValue(RegionName("msa")).requestsPerSecond shouldBe 2000.0
            bundle.links.getValue(LinkKey(RegionName("nbo"), RegionName("msa"))).bitsPerSecond shouldBe 4_000_000_000
            val payout = bundle.services.getValue(ServiceName("booking")).kinds.getValue(KindName("payout"))
            payout.idempotent shouldBe false
            payout.maximumDeadline shouldBe 10.seconds
            val targets = bundle.targets
            targets.getValue(TargetName("booking-nbo-a-1")).desiredState shouldBe DesiredTargetState.ACTIVE
            targets.getValue(TargetName("booking-msa-a-1")).desiredState shouldBe DesiredTargetState.LEAVING
            targets.values.map { it.leavesAt }.toSet() shouldBe setOf(Instant.parse("2026-12-04T20:00:00Z"))
            bundle.moves.single().startedAt.shouldBeNull()
        }

        test("an empty document is reported with all required keys and tables") {
            faults("").map { it.path } shouldContainExactly listOf("format", "version", "regions", "zones")
        }

        test("text that is not TOML is reported as a fault and throws no exception") {
            faults("[[regions]\nname = 1").single().message shouldContain "not a TOML document"
            faults("revoked_keys = [\n[[regions]]\nname = 1\n").single().message shouldContain "not closed"
            faults("revoked_keys = {\n").single().message shouldContain "not a TOML document"
        }

        test("every fault of a document is reported, with its path and the allowed values") {
            val text = sampleDocument()
                .replace("seats = 64", "seats = 1\ncolour = \"red\"")
                .replace("usable = 0.9", "usable = 1.5")
                .replace("idempotent = false", "idempotent = \"no\"")
                .replace("zone = \"msa-a\"", "zone = \"msa-b\"")
                .replace("5f3a9c0d11223344", "5f3a")
            val found = faults(text)
            found.map { it.path } shouldContainExactlyInAnyOrder
                listOf(
                    "seats",
                    "colour",
                    "links[0].usable",
                    "kinds[0].idempotent",
                    "targets[1].zone",
                    "retired[0].incarnation",
                )
            found.first { it.path == "seats" }.message shouldBe "expected an integer from 2 to 16384, found 1"
            found.first { it.path == "targets[1].zone" }.message shouldContain "declared are nbo-a, msa-a"
        }

        test("a key that is given twice is a fault, since readers of the document could take different values") {
            faultPaths("version = 12", "version = 12\nversion = 13") shouldContainExactly listOf("version")
        }

        test("numbers out of range, NaN and infinities are faults") {
            for (number in listOf("nan", "inf", "1e400", "-0.1", "0.31")) {
                faultPaths("fraction = 0.2", "fraction = $number") shouldHaveSize 1
            }
            for (number in listOf("0", "100000000", "1.0", "99999999999999999999", "\"12\"")) {
                faultPaths("version = 12", "version = $number") shouldContainExactly listOf("version")
            }
            valid(sampleDocument(fraction = 0.3)).moves.single().fraction shouldBe 0.3
        }

        test("moves of a service from one region that together exceed its shift cap are a fault") {
            val link = "[[links]]\nfrom = \"nbo\"\nto = \"ksm\"\nbits_per_second = 1\n"
            val region = "[[regions]]\nname = \"ksm\"\nrequests_per_second = 1\n" +
                "[[zones]]\nname = \"k\"\nregion = \"ksm\"\n"
            val target = "[[targets]]\nservice = \"booking\"\nname = \"t\"\nzone = \"k\"\n" +
                "address = \"127.0.0.1:1\"\n" +
                "slots = 1\nconnections = 1\n"
            val move = "[[moves]]\nservice = \"booking\"\nfrom = \"nbo\"\nto = \"ksm\"\nfraction = "
            val text = sampleDocument() + region + link + target + move
            valid(text + "0.1\n").moves shouldHaveSize 2
            faults(text + "0.11\n").single().path shouldBe "moves"
        }

        test("a move without a link or without a target in its destination region is a fault") {
            faultPaths("to = \"msa\"\nbits", "to = \"nbo\"\nbits") shouldContainExactlyInAnyOrder
                listOf("links[0].to", "moves[0].to")
            faultPaths("zone = \"msa-a\"", "zone = \"nbo-a\"") shouldContainExactly listOf("moves[0].to")
        }

        test(
            "a deadline longer than the maximum, fewer connections than slots and a service without a kind are faults",
        ) {
            faultPaths("deadline_ms = 5000", "deadline_ms = 10001") shouldContainExactly listOf("kinds[0].deadline_ms")
            faultPaths("connections = 330", "connections = 3") shouldContainExactly listOf("targets[0].connections")
            faults(sampleDocument() + "[[services]]\nname = \"x\"\nshift_cap = 0\n").single().path shouldBe "services"
        }

        test("two declarations with the same name or address are a fault") {
            faultPaths("name = \"msa-a\"", "name = \"nbo-a\"").contains("zones[1].name") shouldBe true
            faultPaths("booking-msa-a-1", "booking-nbo-a-1") shouldContainExactly listOf("targets[1].name")
            faultPaths("[::1]:9102", "127.0.0.1:9101") shouldContainExactly listOf("targets[1].address")
        }

        test("only literal addresses are accepted, so that a VM never resolves a name") {
            for (address in listOf(
                "localhost:1",
                "127.0.0.1",
                "127.0.0.1:0",
                "127.0.0.1:65536",
                "127.0.0.1:+1",
                "::1:80",
            )) {
                parseSocketAddressOrNull(address).shouldBeNull()
            }
            for (address in listOf(
                "127.0.0.1:65535",
                "[2001:db8::1]:80",
            )) {
                parseSocketAddressOrNull(address).shouldNotBeNull()
            }
        }

        test("a client block without a prefix length or with bits set after the prefix is rejected") {
            for (block in listOf(
                "10.1.0.0",
                "10.1.0.0/",
                "10.1.0.1/16",
                "10.1.0.0/33",
                "10.1.0/16",
                "x/8",
                "10.0.0.0/-1",
            )) {
                parseBlockOrNull(block).shouldBeNull()
            }
            for (block in listOf("0.0.0.0/0", "10.1.0.1/32", "2001:db8::/32")) parseBlockOrNull(block).shouldNotBeNull()
        }

        test("unknown tables and tables of the wrong form are faults") {
            faults(sampleDocument() + "[[colours]]\nname = \"red\"\n").single().path shouldBe "colours"
            faults(sampleDocument().replaceFirst("[[retired]]", "[retired]")).single().path shouldBe "retired"
            faults(sampleDocument() + "extra = { a = 1 }\n").map { it.path } shouldContainExactly listOf("retired")
        }

        test("a document above the size limit is rejected before it is parsed") {
            val padding = "# padding\n".repeat(MAXIMUM_BUNDLE_BYTES / 10)
            faults(sampleDocument() + padding).single().message shouldContain "at most 716800"
        }

        test("damaged documents yield faults and throw no exception") {
            val random = Random(20261204)
            val sample = sampleDocument()
            repeat(2_000) {
                val text = StringBuilder(sample)
                repeat(random.nextInt(1, 4)) {
                    val position = random.nextInt(text.length)
                    when (random.nextInt(3)) {
                        0 -> text.deleteCharAt(position)
                        1 -> text.insert(position, "[]{}=\"'#\\\n.,\u0000é"[random.nextInt(14)])
                        else -> text.delete(position, minOf(text.length, position + random.nextInt(40)))
                    }
                }
                parseBundle(text.toString())
            }
        }
    })
