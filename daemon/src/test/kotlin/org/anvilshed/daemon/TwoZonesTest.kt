package org.anvilshed.daemon

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import org.anvilshed.daemon.testbed.TEST_TIMEOUT
import org.anvilshed.daemon.testbed.TIMEOUT
import org.anvilshed.daemon.testbed.TestZone
import org.anvilshed.daemon.testbed.Testbed
import org.anvilshed.daemon.testbed.bytes
import org.anvilshed.daemon.testbed.pattern

private val zoneA = TestZone("nbo-a", "nbo")
private val zoneB = TestZone("nbo-b", "nbo")
private const val LARGE = 2_000_000

/** Guards against faults between the VMs of two zones: lookups, forwarded requests, bundles and shutdown. */
class TwoZonesTest :
    FunSpec({
        timeout = TEST_TIMEOUT.inWholeMilliseconds

        val testbed = Testbed(listOf(zoneA, zoneB))
        lateinit var first: Daemon
        lateinit var second: Daemon

        beforeSpec {
            testbed.start()
            first = testbed.startDaemon("nbo-a-vm-1", zoneA)
            second = testbed.startDaemon("nbo-b-vm-1", zoneB)
            testbed.awaitReady()
        }
        afterSpec { testbed.stop() }

        test("a lookup lists both VMs, the VM of the own zone first") {
            eventually(TIMEOUT) {
                val entries = testbed.lookup(second).getJsonArray("entries").map { it as JsonObject }
                entries.map { it.getString("vm") } shouldBe listOf("nbo-b-vm-1", "nbo-a-vm-1")
            }
        }

        test("a payout sent to another VM runs once, by the owner of its identifier, and its answer is replayed") {
            val identifier = "${testbed.token(second, "nbo-a-vm-1")}.forwarded"
            val response = testbed.pay(second, "/echo", identifier)
            response.bodyAsString() shouldBe "payout"
            response.getHeader("Anvilshed-Via") shouldBe "nbo-b-vm-1,nbo-a-vm-1"
            for (daemon in listOf(first, second)) {
                val duplicate = testbed.pay(daemon, "/echo", identifier)
                duplicate.bodyAsString() shouldBe "payout"
                duplicate.getHeader("Anvilshed-Replayed") shouldBe "true"
            }
            testbed.targets.values.flatten().sumOf { it.arrivals[identifier] ?: 0 } shouldBe 1
        }

        test("a payout with an identifier of an earlier incarnation never runs") {
            val token = testbed.token(first, "nbo-a-vm-1").split('.')
            val old = "${token[0]}.0000000000000001.${token[2]}.old-token"
            for (daemon in listOf(first, second)) {
                val response = testbed.pay(daemon, "/echo", old)
                response.statusCode() shouldBe 409
                response.getHeader("Anvilshed-Reason") shouldBe "owner-replaced"
            }
            testbed.targets.values.flatten().sumOf { it.arrivals[old] ?: 0 } shouldBe 0
        }

        test("a payout with an identifier of an unknown VM never runs") {
            val token = testbed.token(first, "nbo-a-vm-1").split('.')
            val unknown = "nbo-x-1.${token[1]}.${token[2]}.unknown-vm"
            testbed.pay(first, "/echo", unknown).getHeader("Anvilshed-Reason") shouldBe "owner-unreachable"
        }

        test("requests go to the other zone when the target of the own zone is draining, with complete large bodies") {
            testbed.target("nbo-a").healthState = "draining"
            eventually(TIMEOUT) {
                testbed.read(first, "/echo").getHeader("Anvilshed-Target") shouldBe "nbo-b-target-1"
            }
            val before = testbed.target("nbo-a").arrivals.values.sum()
            val body = Buffer.buffer(pattern(LARGE))
            val echoed = testbed.request(first, HttpMethod.POST, "/echo", "read").sendBuffer(body).coAwait()
            echoed.getHeader("Anvilshed-Via") shouldBe "nbo-a-vm-1,nbo-b-vm-1"
            echoed.body() shouldBe body
            testbed.read(first, "/large/$LARGE").bytes() shouldBe pattern(LARGE)
            val broken = runCatching { testbed.read(first, "/half") }
            broken.isFailure shouldBe true
            // The incomplete response occupies its slot until the deadline at the target. Until then, the next request
            // may be refused because no slot is free; a refused request must not have reached the target.
            var falseRefusals = 0
            eventually(TIMEOUT) {
                val arrived = testbed.target("nbo-b").arrivals.values.sum()
                val outcome = testbed.read(first, "/lose").getHeader("Anvilshed-Outcome")
                if (outcome == "not-run" && testbed.target("nbo-b").arrivals.values.sum() != arrived) falseRefusals++
                outcome shouldBe "unknown"
            }
            falseRefusals shouldBe 0
            testbed.target("nbo-a").arrivals.values.sum() shouldBe before
            testbed.target("nbo-a").healthState = "ready"
        }

        test("a target that is leaving according to the VM list of the platform gets no requests") {
            eventually(TIMEOUT) {
                testbed.read(first, "/echo").getHeader("Anvilshed-Target") shouldBe "nbo-a-target-1"
            }
            val entry = JsonObject().put("name", "nbo-a-target-1").put("role", "target").put("zone", "nbo-a")
                .put("address", "127.0.0.1:1").put("state", "leaving")
            testbed.platform.vms = JsonArray().add(entry)
            eventually(TIMEOUT) {
                testbed.read(first, "/echo").getHeader("Anvilshed-Target") shouldBe "nbo-b-target-1"
            }
            testbed.platform.vms = JsonArray()
        }

        test("a new bundle comes into force on both VMs, and an older one never does") {
            testbed.operators.publish(testbed.platform, 3, testbed.bundle(3))
            for (daemon in testbed.daemons.values) {
                eventually(TIMEOUT) { testbed.status(daemon).getInteger("bundle_version") shouldBe 3 }
            }
            testbed.operators.publish(testbed.platform, 2, testbed.bundle(2))
            testbed.operators.publish(testbed.platform, 4, testbed.bundle(4))
            for (daemon in testbed.daemons.values) {
                eventually(TIMEOUT) { testbed.status(daemon).getInteger("bundle_version") shouldBe 4 }
            }
        }

        test("a replacement VM gets the bundle from its peers during an outage of the platform") {
            testbed.platform.outage = true
            val third = testbed.startDaemon("nbo-a-vm-2", zoneA)
            eventually(TIMEOUT) { testbed.status(third).getInteger("bundle_version") shouldBe 4 }
            testbed.platform.outage = false
            eventually(TIMEOUT) {
                val seats = testbed.status(third).getJsonArray("seats").map { it as JsonObject }
                seats.single { it.getString("scope") == "zone/nbo-a" }.getInteger("held") shouldBeGreaterThan 0
            }
        }

        test("a VM that stops is no longer listed, completes its requests, releases its shares and exits with 0") {
            val leaving = testbed.daemons.getValue("nbo-a-vm-2")
            val names =
                suspend { testbed.lookup(second).getJsonArray("entries").map { (it as JsonObject).getString("vm") } }
            eventually(TIMEOUT) { names() shouldContain "nbo-a-vm-2" }
            leaving.requestStop()
            val late = testbed.request(leaving, HttpMethod.GET, "/delay/1000", "read").send()
            eventually(TIMEOUT) { names() shouldNotContain "nbo-a-vm-2" }
            testbed.daemons.remove("nbo-a-vm-2")
            leaving.awaitEnd() shouldBe 0
            val response = late.coAwait()
            response.statusCode() shouldBe 200
            response.getHeader("Connection") shouldBe "close"
            eventually(TIMEOUT) {
                testbed.platform.textOrNull("seats/zone/nbo-a").orEmpty().contains("nbo-a-vm-2") shouldBe false
            }
        }
    })
