package org.anvilshed.standins

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrowAny
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlin.time.Duration.Companion.seconds

class PlatformStandInTest :
    FunSpec({
        val vertx = singleLoopVertx()
        afterSpec { vertx.close() }

        suspend fun startPlatform() = callsTo(PlatformStandIn(vertx).start("127.0.0.1", 0).actualPort())

        test("a conditional write with an outdated version is refused and the answer names the current version") {
            val calls = startPlatform()
            val first = calls.call("PUT", "/v1/objects/seats/zone/a", "one", "If-Version", "0")
            first.statusCode() shouldBe 200
            val second = calls.call("PUT", "/v1/objects/seats/zone/a", "two", "If-Version", "0")
            second.statusCode() shouldBe 409
            second.objectVersion() shouldBe first.objectVersion()
            calls.call("GET", "/v1/objects/seats/zone/a").body() shouldBe "one"
        }

        test("an object created again after a deletion has a new version") {
            val calls = startPlatform()
            val first = calls.call("PUT", "/v1/objects/k", "one", "If-Version", "0").objectVersion()
            calls.call("DELETE", "/v1/objects/k", "", "If-Version", "$first").statusCode() shouldBe 200
            calls.call("GET", "/v1/objects/k").statusCode() shouldBe 404
            (calls.call("PUT", "/v1/objects/k", "one", "If-Version", "0").objectVersion() > first) shouldBe true
        }

        test("an object of more than 1 MiB is refused") {
            val calls = startPlatform()
            calls.call("PUT", "/v1/objects/k", "x".repeat(1024 * 1024), "If-Version", "0").statusCode() shouldBe 200
            calls.call("PUT", "/v1/objects/l", "x".repeat(1024 * 1024 + 1), "If-Version", "0").statusCode() shouldBe 413
        }

        test("a watch reports a change since the given revision at once, and a later change when it happens") {
            val calls = startPlatform()
            calls.call("PUT", "/v1/objects/bundles/1", "one", "If-Version", "0")
            calls.call("GET", "/v1/watch?prefix=bundles/&after=0&timeout_ms=1000").body() shouldContain "bundles/1"
            val waiting = calls.start("GET", "/v1/watch?prefix=bundles/&after=1&timeout_ms=15000")
            eventually(10.seconds) { calls.call("GET", "/control").body() shouldContain "\"waiting\":1" }
            calls.call("PUT", "/v1/objects/bundles/2", "two", "If-Version", "0")
            waiting.get().body() shouldContain "bundles/2"
        }

        test("a write takes effect although its answer is lost") {
            val calls = startPlatform()
            calls.call("POST", "/control", """{"lose_next":1}""")
            shouldThrowAny { calls.call("PUT", "/v1/objects/k", "one", "If-Version", "0") }
            calls.call("GET", "/v1/objects/k").body() shouldBe "one"
        }

        test("an outage refuses calls, and a partitioned client gets no answer") {
            val calls = startPlatform()
            calls.call("POST", "/control", """{"outage":"refuse"}""")
            calls.call("GET", "/v1/vms").statusCode() shouldBe 503
            calls.call("POST", "/control", """{"outage":"none","cut_prefixes":["nbo-a-"]}""")
            calls.call("GET", "/v1/vms", "", "Client-Name", "nbo-b-1").statusCode() shouldBe 200
            val silent = calls.start("GET", "/v1/vms", "", "Client-Name", "nbo-a-1")
            calls.call("GET", "/v1/vms", "", "Client-Name", "nbo-b-1").statusCode() shouldBe 200
            silent.isDone shouldBe false
        }

        test("writes above the rate are refused, and waiting watches use up reads") {
            val calls = startPlatform()
            calls.call("POST", "/control", """{"writes_per_second":1,"reads_per_second":1}""")
            val statuses = (1..4).map { calls.call("PUT", "/v1/objects/k$it", "v", "If-Version", "0").statusCode() }
            statuses.contains(429) shouldBe true
            calls.start("GET", "/v1/watch?prefix=none&after=99&timeout_ms=15000")
            eventually(10.seconds) { calls.call("GET", "/control").body() shouldContain "\"waiting\":1" }
            calls.call("GET", "/v1/vms").statusCode() shouldBe 429
        }

        test("stale reads return the state of an earlier time") {
            val calls = startPlatform()
            calls.call("PUT", "/v1/objects/k", "one", "If-Version", "0")
            calls.call("POST", "/control", """{"stale_ms":600000}""")
            calls.call("GET", "/v1/objects/k").statusCode() shouldBe 404
        }

        test("the VM list is returned as of an earlier time if it lags") {
            val calls = startPlatform()
            val list = """{"vms":[{"name":"t-1","role":"target","zone":"nbo-a","address":"127.0.0.1:1"}]}"""
            calls.call("POST", "/control", list)
            calls.call("GET", "/v1/vms").body() shouldContain "\"state\":\"live\""
            calls.call("POST", "/control", """{"vm_state":{"t-1":"leaving"}}""")
            calls.call("GET", "/v1/vms").body() shouldContain "\"state\":\"leaving\""
            calls.call("POST", "/control", """{"vm_lag_ms":600000}""")
            calls.call("GET", "/v1/vms").body() shouldBe """{"vms":[]}"""
        }
    })
