package org.anvilshed.core.lookup

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.core.RegionName
import kotlin.random.Random

private fun prefix(text: String): IpPrefix = checkNotNull(parseIpPrefixOrNull(text)) { text }

private fun address(text: String): IpAddress = checkNotNull(parseIpAddressOrNull(text)) { text }

class ClientBlockTableTest :
    FunSpec({
        val nbo = RegionName("nbo")
        val msa = RegionName("msa")
        val ksm = RegionName("ksm")

        test("an empty table finds nothing") {
            ClientBlockTable(emptyMap()).findOrNull(address("10.0.0.1")) shouldBe null
        }

        test("the whole address space and a single address can be blocks") {
            val table = ClientBlockTable(mapOf(prefix("0.0.0.0/0") to nbo, prefix("255.255.255.255/32") to msa))
            table.findOrNull(address("0.0.0.0")) shouldBe nbo
            table.findOrNull(address("255.255.255.254")) shouldBe nbo
            table.findOrNull(address("255.255.255.255")) shouldBe msa
        }

        test("the longest block applies, and after its removal the next shorter block") {
            val table = ClientBlockTable(mapOf(prefix("10.0.0.0/8") to nbo, prefix("10.1.0.0/16") to msa))
            table.put(prefix("10.1.2.0/24"), ksm)
            table.findOrNull(address("10.1.2.3")) shouldBe ksm
            table.remove(prefix("10.1.2.0/24"))
            table.findOrNull(address("10.1.2.3")) shouldBe msa
            table.remove(prefix("10.1.0.0/16"))
            table.findOrNull(address("10.1.2.3")) shouldBe nbo
        }

        test("blocks of one address family do not apply to addresses of the other") {
            val table = ClientBlockTable(mapOf(prefix("2001:db8::/32") to nbo))
            table.findOrNull(address("2001:db8::1")) shouldBe nbo
            table.findOrNull(address("32.1.13.184")) shouldBe null
        }

        test("malformed addresses and blocks are rejected") {
            listOf("", "1.2.3", "1.2.3.256", "1.2.3.4.5", "host", "1::2::3", "12345::", ":::").forEach {
                parseIpAddressOrNull(it) shouldBe null
            }
            listOf("10.0.0.0", "10.0.0.0/33", "10.0.0.1/8", "10.0.0.0/-1", "::/65", "10.0.0.0/").forEach {
                parseIpPrefixOrNull(it) shouldBe null
            }
        }

        // Guards against wrong enclosing prefixes and parents after chunks are split, emptied or overlapped by long
        // blocks.
        test("random changes agree with a search over all blocks") {
            val regions = List(5) { RegionName("region-$it") }
            for (seed in 1..20) {
                val random = Random(seed)
                val expected = HashMap<IpPrefix, RegionName>()
                repeat(random.nextInt(3_000)) { expected[randomPrefix(random)] = regions.random(random) }
                val table = ClientBlockTable(expected)
                repeat(2_000) {
                    val block = if (random.nextBoolean() &&
                        expected.isNotEmpty()
                    ) {
                        expected.keys.random(random)
                    } else {
                        randomPrefix(random)
                    }
                    if (random.nextInt(3) == 0) {
                        expected.remove(block)
                        table.remove(block)
                    } else {
                        val region = regions.random(random)
                        expected[block] = region
                        table.put(block, region)
                    }
                }
                repeat(300) {
                    val candidate = IpAddress(AddressFamily.IPV4, random.nextInt().toLong().and(0x0FFFFFFF) shl 32)
                    val longest = expected.entries.filter {
                        prefixContains(it.key.key, it.key.length, candidate.key)
                    }.maxByOrNull { it.key.length }
                    table.findOrNull(candidate) shouldBe longest?.value
                }
            }
        }
    })

private fun randomPrefix(random: Random): IpPrefix {
    val length = random.nextInt(4, 33)
    val key = (random.nextInt().toLong().and(0x0FFFFFFF) shl 32) and prefixMask(length)
    return IpPrefix(AddressFamily.IPV4, key, length)
}
