package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.GatewayTestbed.Companion.await
import org.anvilshed.gateway.testbed.ScriptedTarget
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class GatewayStopTest :
    FunSpec({
        test("stop ends readiness at once, completes the request in progress and then closes its connection") {
            val release = CountDownLatch(1)
            val target = ScriptedTarget { request, socket ->
                release.await()
                ScriptedTarget.respond(socket, request)
            }
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                testbed.connect().use { socket ->
                    ScriptedTarget.write(socket, "GET /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: id-1\r\n\r\n")
                    await { target.received.size == 1 }
                    val stopping = testbed.stopInBackground()
                    await { !testbed.onEventLoop { testbed.gateway.isReady } }
                    release.countDown()
                    val response = testbed.readResponse(socket)
                    response.status shouldBe 200
                    response.headers["connection"] shouldBe "close"
                    stopping.get()
                }
            }
            target.close()
        }

        // Guards against a process that ends at the second SIGTERM, with requests in progress.
        test("a second stop waits for the requests in progress like the first one") {
            val isAnswered = AtomicBoolean()
            val target = ScriptedTarget { request, socket ->
                Thread.sleep(800)
                ScriptedTarget.respond(socket, request)
                isAnswered.set(true)
            }
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                testbed.connect().use { socket ->
                    ScriptedTarget.write(socket, "POST /once/ HTTP/1.1\r\nHost: test.example\r\nX-Id: id-1\r\n\r\n")
                    await { target.received.size == 1 }
                    val first = testbed.stopInBackground()
                    await { !testbed.onEventLoop { testbed.gateway.isReady } }
                    testbed.onEventLoop { testbed.gateway.stop() }
                    // The process ends here.
                    isAnswered.get() shouldBe true
                    testbed.readResponse(socket).status shouldBe 200
                    first.get()
                }
            }
            target.close()
        }

        test(
            "at the end of a stop, unfinished requests are answered, and responses that waited behind them delivered",
        ) {
            val target = ScriptedTarget { request, socket ->
                if (request.id == "slow") Thread.sleep(5_000)
                ScriptedTarget.respond(socket, request, body = request.id)
            }
            GatewayTestbed(stopTimeout = 1500.milliseconds).use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                testbed.connect().use { socket ->
                    fun send(id: String) =
                        ScriptedTarget.write(socket, "GET /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: $id\r\n\r\n")
                    send("slow")
                    send("quick")
                    await { target.received.size == 2 }
                    testbed.onEventLoop { testbed.gateway.stop() }
                    // The process ends here.
                    val first = testbed.readResponse(socket)
                    first.status shouldBe 504
                    first.headers["x-id"] shouldBe "slow"
                    testbed.readResponse(socket).body shouldBe "quick"
                }
            }
            target.close()
        }

        test("a stopping VM still serves callers that use an earlier lookup response") {
            val target = ScriptedTarget { request, socket -> ScriptedTarget.respond(socket, request) }
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                val stopping = testbed.stopInBackground()
                await { !testbed.onEventLoop { testbed.gateway.isReady } }
                testbed.call("/safe/").status shouldBe 200
                stopping.get()
            }
            target.close()
        }

        // Guards against requests that are sent to a target late in the stop and cut at its end.
        test("during a stop, each request that reaches a target is answered, and a refused one reaches none") {
            val target = ScriptedTarget { request, socket ->
                Thread.sleep(100L + 1_500L * (request.id.hashCode() and 7) / 7)
                ScriptedTarget.respond(socket, request, body = request.id)
            }
            GatewayTestbed(stopTimeout = 2.seconds).use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                val statuses = ConcurrentHashMap<String, Int>()
                val isStopped = AtomicBoolean()

                fun send(id: String, path: String, method: String) {
                    val response = runCatching { testbed.call(path, id = id, method = method) }.getOrNull() ?: return
                    if (response.complete) statuses[id] = response.status
                }
                val senders = List(12) { sender ->
                    thread {
                        var number = 0
                        while (!isStopped.get()) {
                            val id = "$sender-${number++}"
                            if (sender % 2 == 0) send(id, "/safe/", "GET") else send(id, "/once/", "POST")
                            Thread.sleep(20)
                        }
                    }
                }
                await { target.received.size >= 8 }
                testbed.onEventLoop { testbed.gateway.stop() }
                // The process ends here.
                val forwarded = target.received.map { it.id }.toSet()
                val answered = statuses.toMap()
                isStopped.set(true)
                senders.forEach { it.join(5_000) }
                forwarded - answered.keys shouldBe emptySet()
                answered.filterValues { it == 503 }.keys intersect forwarded shouldBe emptySet()
            }
            target.close()
        }

        test("a request whose response would come after the end is refused at once") {
            val target = ScriptedTarget { request, socket ->
                Thread.sleep(1_000)
                ScriptedTarget.respond(socket, request)
            }
            GatewayTestbed(stopTimeout = 1500.milliseconds).use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                val stopping = testbed.stopInBackground()
                await { !testbed.onEventLoop { testbed.gateway.isReady } }
                for ((path, method) in listOf("/safe/" to "GET", "/once/" to "POST")) {
                    val response = testbed.call(path, method = method)
                    response.status shouldBe 503
                    response.body shouldBe "{\"error\":\"leaving\"}"
                }
                target.received.size shouldBe 0
                stopping.get()
            }
            target.close()
        }

        // Guards against a process that is killed while callers keep sending it requests.
        test("callers that keep sending during the stop can't delay it, and every forwarded request is answered") {
            val target = ScriptedTarget { request, socket ->
                Thread.sleep(300)
                ScriptedTarget.respond(socket, request, body = request.id)
            }
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                val answered = ConcurrentHashMap.newKeySet<String>()
                val isStopped = AtomicBoolean()
                val senders = List(4) { sender ->
                    thread {
                        var number = 0
                        while (!isStopped.get()) {
                            val id = "$sender-${number++}"
                            runCatching { testbed.call("/safe/", id = id) }.onSuccess {
                                if (it.status == 200 && it.complete) answered.add(id)
                            }.onFailure { Thread.sleep(20) }
                        }
                    }
                }
                // Sends a request ahead whenever one is answered, so that its connection always has one in progress.
                val pipeliner = thread {
                    runCatching {
                        testbed.connect().use { socket ->
                            fun send(number: Int) = ScriptedTarget.write(
                                socket,
                                "GET /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: ahead-$number\r\n\r\n",
                            )
                            send(0)
                            send(1)
                            for (number in 2..1_000) {
                                val response = testbed.readResponse(socket)
                                if (response.status == 200 && response.complete) answered.add("ahead-${number - 2}")
                                if (!response.complete || response.headers["connection"] == "close") return@use
                                send(number)
                            }
                        }
                    }
                }
                await { answered.size >= 8 }
                testbed.onEventLoop { testbed.gateway.stop() }
                // The process ends here.
                val forwarded = target.received.map { it.id }.toSet()
                isStopped.set(true)
                (senders + pipeliner).forEach { it.join(5_000) }
                forwarded - answered shouldBe emptySet()
            }
            target.close()
        }
    })
