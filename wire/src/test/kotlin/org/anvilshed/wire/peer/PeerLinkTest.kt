package org.anvilshed.wire.peer

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilshed.core.Incarnation
import org.anvilshed.core.KindName
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

private val TIMEOUT = 20.seconds

/** Time after which a transfer that must not happen is considered absent. */
private val QUIET = 1.seconds

private fun hello(name: String, version: Int = PROTOCOL_VERSION) = Hello(
    VmIdentity(VmName(name), Incarnation(name.hashCode().toLong())),
    ZoneName("zone"),
    RegionName("region"),
    "http://127.0.0.1:1",
    "127.0.0.1:2",
    version,
)

private fun start(number: Long, path: String = "/") = RequestStart(
    number,
    ServiceName("booking"),
    KindName("payout"),
    "POST",
    path,
    emptyList(),
    1_000,
    null,
    RequestMode.EXECUTE,
)

private class RecordingHandler(
    private val scope: CoroutineScope,
    private val serve: suspend (PeerStream, RequestStart) -> Unit = { _, _ -> },
) : PeerLinkHandler {
    val messages = CopyOnWriteArrayList<PeerMessage>()
    val links = CopyOnWriteArrayList<PeerLink>()
    val closed = CopyOnWriteArrayList<PeerLink>()

    override fun onMessage(link: PeerLink, message: PeerMessage) {
        messages += message
        links += link
    }

    override fun onRequest(link: PeerLink, stream: PeerStream, start: RequestStart) {
        links += link
        scope.launch { serve(stream, start) }
    }

    override fun onClosed(link: PeerLink) {
        closed += link
    }
}

private class LinkedTransports(val link: PeerLink, val server: RecordingHandler, val client: RecordingHandler)

private suspend fun withLink(
    serve: suspend (PeerStream, RequestStart) -> Unit,
    block: suspend LinkedTransports.() -> Unit,
) {
    val scope = CoroutineScope(Dispatchers.Default)
    val server = RecordingHandler(scope, serve)
    val client = RecordingHandler(scope)
    PeerTransport({ hello("server") }, server).use { accepting ->
        val port = accepting.listen("127.0.0.1", 0)
        accepting.startAccepting()
        PeerTransport({ hello("client") }, client).use { dialing ->
            val result = dialing.dial("127.0.0.1", port, TIMEOUT)
            val link = result.shouldBeInstanceOf<DialResult.Connected>().link
            withTimeout(TIMEOUT * 2) { LinkedTransports(link, server, client).block() }
        }
    }
}

/** Returns the whole body of a stream, or `null` if the stream ended before the end of the body. */
private suspend fun PeerStream.readBody(): ByteArray? {
    var body = ByteArray(0)
    while (true) {
        when (val message = receive()) {
            is BodyChunk -> body += message.bytes
            is BodyEnd -> return body
            is ResponseStart -> Unit
            else -> return null
        }
    }
}

private fun pattern(size: Int, seed: Int) = ByteArray(size) { (it * 31 + seed).toByte() }

private suspend fun echo(stream: PeerStream) {
    val body = stream.readBody() ?: return
    stream.send(ResponseStart(stream.number, 200, emptyList(), "t"))
    stream.sendBody(body)
    stream.send(BodyEnd(stream.number))
    stream.finish()
}

class PeerLinkTest :
    FunSpec({
        test("each side receives the greeting of the other side") {
            withLink(serve = { _, _ -> }) {
                link.remote.vm.name shouldBe VmName("server")
                link.sendControl(HeartbeatAck(1, emptySet()))
                eventually(TIMEOUT) { server.messages shouldContain HeartbeatAck(1, emptySet()) }
                server.links.first().remote.vm.name shouldBe VmName("client")
            }
        }

        test("a port without a listener is distinguished from other failures, as evidence that a process ended") {
            val port = ServerSocket(0).use { it.localPort }
            PeerTransport({ hello("client") }, RecordingHandler(CoroutineScope(Dispatchers.Default))).use { dialing ->
                dialing.dial("127.0.0.1", port, TIMEOUT) shouldBe DialResult.Refused
                ServerSocket(0).use { silent ->
                    dialing.dial("127.0.0.1", silent.localPort, QUIET).shouldBeInstanceOf<DialResult.Failed>()
                }
            }
        }

        test("processes of different protocol versions do not connect") {
            val handler = RecordingHandler(CoroutineScope(Dispatchers.Default))
            PeerTransport({ hello("server", version = 2) }, handler).use { accepting ->
                val port = accepting.listen("127.0.0.1", 0)
                accepting.startAccepting()
                PeerTransport({ hello("client") }, handler).use { dialing ->
                    dialing.dial("127.0.0.1", port, TIMEOUT).shouldBeInstanceOf<DialResult.Failed>()
                }
            }
        }

        test("concurrent bodies larger than the window are returned completely and on their own streams") {
            withLink(serve = { stream, _ -> echo(stream) }) {
                coroutineScope {
                    (1..20).map { seed ->
                        async(Dispatchers.Default) {
                            val body = pattern(size = 100_000 * seed, seed = seed)
                            val stream = link.openStream { start(it) }.shouldNotBeNull()
                            stream.sendBody(body).shouldBeTrue()
                            stream.send(BodyEnd(stream.number)).shouldBeTrue()
                            stream.readBody().shouldNotBeNull().contentEquals(body).shouldBeTrue()
                            stream.finish()
                        }
                    }.awaitAll()
                }
                link.openStreams shouldBe 0
            }
        }

        test("a stream that is not read buffers one window and does not delay other streams or heartbeats") {
            val unread = CopyOnWriteArrayList<PeerStream>()
            withLink(serve = { stream, start -> if (start.path == "/unread") unread += stream else echo(stream) }) {
                val slow = link.openStream { start(it, "/unread") }.shouldNotBeNull()
                val body = ByteArray(4 * INITIAL_WINDOW_BYTES.toInt())
                withTimeoutOrNull(QUIET) { slow.sendBody(body) }.shouldBeNull()

                val quick = link.openStream { start(it) }.shouldNotBeNull()
                quick.sendBody(body).shouldBeTrue()
                quick.send(BodyEnd(quick.number))
                quick.readBody().shouldNotBeNull().size shouldBe body.size
                link.sendControl(HeartbeatAck(5, emptySet())).shouldBeTrue()
                eventually(TIMEOUT) { server.messages shouldContain HeartbeatAck(5, emptySet()) }

                var received = 0
                withTimeoutOrNull(QUIET) {
                    while (true) received += (unread.single().receive() as BodyChunk).bytes.size
                }.shouldBeNull()
                received shouldBeLessThanOrEqual INITIAL_WINDOW_BYTES.toInt()
            }
        }

        test("the link is closed if a side sends more than its credit") {
            withLink(serve = { _, _ -> }) {
                val stream = link.openStream { start(it) }.shouldNotBeNull()
                repeat(1 + INITIAL_WINDOW_BYTES.toInt() / MAXIMUM_CHUNK_BYTES) {
                    stream.send(BodyChunk(stream.number, ByteArray(MAXIMUM_CHUNK_BYTES)))
                }
                eventually(TIMEOUT) { client.closed shouldContain link }
            }
        }

        test("frames that arrive after the cancellation of a stream are ignored, and the link remains usable") {
            val cancelled = CopyOnWriteArrayList<PeerStream>()
            withLink(
                serve = { stream, start ->
                    if (start.path == "/late") {
                        while (stream.receive() !is Cancel) Unit
                        cancelled += stream
                        stream.send(ResponseStart(stream.number, 200, emptyList(), null))
                        stream.sendBody(ByteArray(MAXIMUM_CHUNK_BYTES))
                        stream.send(BodyEnd(stream.number))
                    } else {
                        echo(stream)
                    }
                },
            ) {
                val stream = link.openStream { start(it, "/late") }.shouldNotBeNull()
                stream.cancel()
                stream.sendBody(ByteArray(1)).shouldBeFalse()
                eventually(TIMEOUT) { cancelled.size shouldBe 1 }
                val next = link.openStream { start(it) }.shouldNotBeNull()
                next.send(BodyEnd(next.number))
                next.readBody().shouldNotBeNull().size shouldBe 0
            }
        }

        test("if a link breaks in the middle of a body, its streams end without an end of body") {
            withLink(
                serve = { stream, _ ->
                    stream.send(ResponseStart(stream.number, 200, emptyList(), null))
                    stream.sendBody(ByteArray(1_000))
                },
            ) {
                val stream = link.openStream { start(it) }.shouldNotBeNull()
                stream.receive().shouldBeInstanceOf<ResponseStart>()
                stream.receive().shouldBeInstanceOf<BodyChunk>()
                server.links.first().close()
                stream.receive().shouldBeNull()
                stream.sendBody(ByteArray(1)).shouldBeFalse()
                eventually(TIMEOUT) { link.isOpen.shouldBeFalse() }
                link.openStream { start(it) }.shouldBeNull()
            }
        }

        test("a refusal ends an upload that waits for credit") {
            withLink(
                serve = { stream, _ ->
                    stream.send(Refused(stream.number, RefusalReason.NO_SLOT, 100))
                    stream.finish()
                },
            ) {
                val stream = link.openStream { start(it) }.shouldNotBeNull()
                coroutineScope {
                    val upload = async { stream.sendBody(ByteArray(10 * INITIAL_WINDOW_BYTES.toInt())) }
                    stream.receive() shouldBe Refused(stream.number, RefusalReason.NO_SLOT, 100)
                    stream.finish()
                    upload.await().shouldBeFalse()
                }
            }
        }
    })
