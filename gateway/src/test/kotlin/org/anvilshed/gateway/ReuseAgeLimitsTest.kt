package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ServiceName
import org.anvilshed.gateway.targets.ReuseAgeLimits
import org.anvilshed.gateway.testbed.ScriptedTarget
import org.anvilshed.gateway.testbed.withTargets
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val SERVICE = ServiceName("service")
private val OTHER = ServiceName("other")
private val START = MonotonicTime(1_000_000_000)

class ReuseAgeLimitsTest :
    FunSpec({
        test("a reset lowers the limit of its service below the age of the connection, for both kinds of request") {
            val limits = ReuseAgeLimits()
            limits.recordReset(SERVICE, 400.milliseconds, START)
            for (idempotent in listOf(true, false)) {
                limits.limit(SERVICE, idempotent, START) shouldBeLessThan 400.milliseconds
            }
            limits.limit(OTHER, idempotent = true, START) shouldBe Duration.INFINITE
            limits.limit(OTHER, idempotent = false, START) shouldBe 1.seconds
        }

        test("repeated resets end the reuse of connections, and the limit is forgotten later") {
            val limits = ReuseAgeLimits()
            var age = 400.milliseconds
            repeat(10) {
                limits.recordReset(SERVICE, age, START)
                age = limits.limit(SERVICE, idempotent = true, START)
            }
            age shouldBe Duration.ZERO
            limits.limit(SERVICE, idempotent = true, START + 60.seconds) shouldBe Duration.INFINITE
        }

        test("after one connection that its target dropped, a non-idempotent request finds no other such connection") {
            val lastUsed = ConcurrentHashMap<Any, Long>()
            withTargets({ request, socket ->
                val now = System.nanoTime()
                val idleMillis = lastUsed.put(socket, now)?.let { (now - it) / 1_000_000 } ?: 0
                // Like a target that forgets connections that were idle for 150 ms.
                if (idleMillis > 150) ScriptedTarget.reset(socket) else ScriptedTarget.respond(socket, request)
            }) { testbed, _ ->
                val statuses = List(6) { number ->
                    Thread.sleep(300)
                    testbed.call("/once/", id = "id-$number", method = "POST", body = "x").status
                }
                statuses.count { it == 502 } shouldBe 1
                statuses.count { it == 200 } shouldBe 5
            }
        }
    })
