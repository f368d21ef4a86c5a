package org.anvilshed.standins

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import kotlinx.serialization.json.Json
import kotlin.time.Duration.Companion.seconds

class TargetStandInsTest :
    FunSpec({
        val vertx = singleLoopVertx()
        afterSpec { vertx.close() }

        class Started(val control: HttpCalls, val target: HttpCalls) {
            fun counters(): TargetCounters =
                Json.decodeFromString<List<TargetCounters>>(control.call("GET", "/control").body()).single()
        }

        suspend fun startTarget(slots: Int): Started {
            val targets = TargetStandIns(vertx, listOf(TargetSpec("t", "127.0.0.1", slots = slots)))
            val control = callsTo(targets.start("127.0.0.1", 0).actualPort())
            return Started(control, callsTo(targets.ports.getValue("t")))
        }

        test("requests beyond the slots are queued, completed and counted in the peak") {
            val started = startTarget(slots = 1)
            val calls = (1..3).map { started.target.start("GET", "/x", "", "Work-Ms", "50", "Response-Bytes", "5000") }
            calls.forEach { it.get().body().length shouldBe 5000 }
            started.counters().peak shouldBe 3
            started.counters().completed shouldBe 3
        }

        test("executions are counted by request identifier") {
            val started = startTarget(slots = 2)
            repeat(2) { started.target.call("POST", "/x", "body", "Request-Id", "a.1.2.n") }
            started.control.call("GET", "/executions").body() shouldBe """{"a.1.2.n":2}"""
        }

        test("a draining target states that the request did not run") {
            val started = startTarget(slots = 2)
            started.control.call("POST", "/control", """{"draining":true}""")
            val answer = started.target.call("GET", "/x")
            answer.statusCode() shouldBe 503
            answer.headers().firstValue("Not-Run").get() shouldBe "true"
            answer.headers().firstValue("Draining").get() shouldBe "true"
            started.target.call("GET", "/health").body() shouldContain "draining"
            started.counters().started shouldBe 0
        }

        test("closing the connection cancels the request and frees the slot") {
            val started = startTarget(slots = 1)
            val socket = java.net.Socket("127.0.0.1", started.counters().port)
            socket.getOutputStream().write("GET /x HTTP/1.1\r\nHost: t\r\nWork-Ms: 60000\r\n\r\n".toByteArray())
            eventually(10.seconds) { started.counters().inFlight shouldBe 1 }
            socket.close()
            eventually(10.seconds) { started.counters().cancelled shouldBe 1 }
            started.target.call("GET", "/x").body() shouldStartWith "{"
        }

        test("a request ends at its deadline and frees its slot") {
            val started = startTarget(slots = 1)
            started.target.call("GET", "/x", "", "Work-Ms", "60000", "Deadline-Ms", "50").statusCode() shouldBe 504
            started.counters().expired shouldBe 1
            started.counters().inFlight shouldBe 0
        }

        test("health reports configured values instead of the true ones") {
            val started = startTarget(slots = 3)
            started.control.call(
                "POST",
                "/control",
                """{"health_state":"ready","health_in_flight":9,"draining":true}""",
            )
            started.target.call("GET", "/health").body() shouldContain """"state":"ready","slots":3,"in_flight":9"""
        }
    })
