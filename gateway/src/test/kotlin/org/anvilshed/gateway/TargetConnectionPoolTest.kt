package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ServiceName
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.fleet.RegisteredTarget
import org.anvilshed.core.fleet.TargetKey
import org.anvilshed.gateway.targets.TargetConnectionPool
import org.anvilshed.gateway.testbed.ScriptedTarget
import org.anvilshed.gateway.testbed.TEST_ZONE
import kotlin.time.Duration
import kotlin.time.Duration.Companion.INFINITE
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TargetConnectionPoolTest :
    FunSpec({
        lateinit var vertx: Vertx
        lateinit var scope: CoroutineScope
        lateinit var server: ScriptedTarget
        val openingTimes = ArrayList<Duration>()

        beforeTest {
            vertx = Vertx.vertx()
            scope = CoroutineScope(vertx.dispatcher())
            server = ScriptedTarget { request, socket -> ScriptedTarget.respond(socket, request) }
            openingTimes.clear()
        }

        afterTest {
            server.close()
            vertx.close()
        }

        fun target() = RegisteredTarget(
            key = TargetKey("target", 1),
            service = ServiceName("service"),
            address = SocketAddress("127.0.0.1", server.port),
            zone = TEST_ZONE,
            slots = 1,
            draining = false,
            coldUntil = MonotonicTime(0),
        )

        fun newPool() =
            TargetConnectionPool(vertx.createHttpClient(), DecisionLog(systemClock), systemClock) { _, duration ->
                openingTimes.add(duration)
            }

        // Guards against targets that get no more requests because their connection count is never decremented.
        test("cancellation while a connection is being opened does not count against the limit of the target") {
            val taken = scope.async {
                val pool = newPool()
                val cancelled = launch(start = CoroutineStart.UNDISPATCHED) {
                    pool.takeOrNull(target(), "id-1", INFINITE, limit = 1, 5.seconds)
                }
                cancelled.cancel()
                cancelled.join()
                pool.takeOrNull(target(), "id-1", INFINITE, limit = 1, 5.seconds)
            }
            taken.await().shouldNotBeNull()
        }

        // Guards against a non-idempotent request on a connection that the target may have dropped.
        test("a connection that was idle for too long is replaced, also at the limit of the target") {
            val isReplaced = scope.async {
                val pool = newPool()
                val first = pool.takeOrNull(target(), "id-1", INFINITE, limit = 1, 5.seconds).shouldNotBeNull()
                pool.release(target().key, first)
                delay(50.milliseconds)
                val second = pool.takeOrNull(target(), "id-1", 10.milliseconds, limit = 1, 5.seconds).shouldNotBeNull()
                second !== first && !first.isOpen
            }
            isReplaced.await() shouldBe true
        }

        // Guards against round-trip estimates that count one slow handshake again with each reuse of its connection.
        test("the time to open a connection is reported once, however often the connection is used") {
            val reports = scope.async {
                val pool = newPool()
                repeat(3) {
                    val connection = pool.takeOrNull(target(), "id-1", INFINITE, limit = 1, 5.seconds).shouldNotBeNull()
                    pool.release(target().key, connection)
                }
                openingTimes.size
            }
            reports.await() shouldBe 1
        }
    })
