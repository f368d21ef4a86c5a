package org.anvilshed.gateway.peers

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.runBlocking
import org.anvilshed.core.SocketAddress
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.store.StoreRevision
import org.anvilshed.gateway.testbed.ScriptedTarget

private const val COPY = """{"revision":20,"objects":[]}"""

class PeerSnapshotsTest :
    FunSpec({
        // Guards against fetches that time out and keep a connection each, until the peer is never asked again.
        test("a peer that did not respond for a while is asked again once it does") {
            var isSilent = true
            ScriptedTarget { _, socket ->
                if (!isSilent) {
                    ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: ${COPY.length}\r\n\r\n$COPY")
                }
            }.use { peer ->
                val vertx = Vertx.vertx()
                val snapshots = PeerSnapshots(vertx, emptyMap())
                val address = SocketAddress("127.0.0.1", peer.port)
                runBlocking(vertx.dispatcher()) {
                    repeat(8) { snapshots.fetchOrNull(address, StoreKind.TARGETS) shouldBe null }
                    isSilent = false
                    snapshots.fetchOrNull(address, StoreKind.TARGETS)?.revision shouldBe StoreRevision(0, 20)
                }
                vertx.close()
            }
        }
    })
