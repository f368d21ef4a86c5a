package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ServiceName
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.fleet.FleetTarget
import org.anvilshed.core.fleet.TargetKey
import org.anvilshed.gateway.targets.TargetConnectionPool
import org.anvilshed.gateway.testbed.ScriptedTarget
import org.anvilshed.gateway.testbed.TEST_ZONE
import kotlin.time.Duration
import kotlin.time.Duration.Companion.INFINITE
import kotlin.time.Duration.Companion.seconds

class TargetConnectionPoolTest :
    FunSpec({
        lateinit var vertx: Vertx
        lateinit var scope: CoroutineScope
        lateinit var server: ScriptedTarget
        val opened = ArrayList<Duration>()

        beforeTest {
            vertx = Vertx.vertx()
            scope = CoroutineScope(vertx.dispatcher())
            server = ScriptedTarget { request, socket -> ScriptedTarget.respond(socket, request) }
            opened.clear()
        }

        afterTest {
            server.close()
            vertx.close()
        }

        fun target() = FleetTarget(
            key = TargetKey("target", 1),
            service = ServiceName("service"),
            address = SocketAddress("127.0.0.1", server.port),
            zone = TEST_ZONE,
            slots = 1,
            draining = false,
            coldUntil = MonotonicTime(0),
        )

        fun connections() =
            TargetConnectionPool(vertx.createHttpClient(), DecisionLog(systemClock), systemClock) { _, duration ->
                opened.add(duration)
            }

        // Guards against targets that are no longer used because their limit of connections seems to be reached.
        test("a caller that leaves while a connection opens does not keep a place of the target's limit") {
            val taken = scope.async {
                val connections = connections()
                val leaving = launch(start = CoroutineStart.UNDISPATCHED) {
                    connections.takeOrNull(target(), INFINITE, limit = 1, 5.seconds)
                }
                leaving.cancel()
                leaving.join()
                connections.takeOrNull(target(), INFINITE, limit = 1, 5.seconds)
            }
            taken.await().shouldNotBeNull()
        }

        // Guards against trip times that are learned from one slow connection as often as it is reused.
        test("the time to open a connection is reported once, however often it is used") {
            val reports = scope.async {
                val connections = connections()
                repeat(3) {
                    val connection = connections.takeOrNull(target(), INFINITE, limit = 1, 5.seconds).shouldNotBeNull()
                    connections.release(target().key, connection)
                }
                opened.size
            }
            reports.await() shouldBe 1
        }
    })
