package org.anvilshed.gateway.testbed

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CopyOnWriteArraySet
import kotlin.concurrent.thread

/** Request as a target received it. */
class ReceivedRequest(val line: String, val headers: Map<String, String>, val body: String) {
    val id: String
        get() = headers.getValue("x-id")
}

/**
 * Target whose responses a test writes byte by byte; [respond] runs on a thread of the connection, after the body of
 * the request was read. With a field `X-Early` in the request, it runs before that and is passed an empty body.
 */
class ScriptedTarget(private val respond: (ReceivedRequest, Socket) -> Unit) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))

    /** Requests in the order in which they arrived. */
    val received = CopyOnWriteArrayList<ReceivedRequest>()

    private val open = CopyOnWriteArraySet<Socket>()

    /** Number of connections that neither side has closed. */
    val openConnections: Int
        get() = open.size

    val port: Int
        get() = server.localPort

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: return@thread
                open.add(socket)
                thread(isDaemon = true) {
                    runCatching { serve(socket) }
                    open.remove(socket)
                }
            }
        }
    }

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().buffered()
        while (true) {
            val lines = generateSequence { readLine(input) }.takeWhile { it.isNotEmpty() }.toList()
            if (lines.isEmpty()) return
            val headers = lines.drop(1).associate {
                it.substringBefore(':').lowercase() to it.substringAfter(':').trim()
            }
            val length = if ("x-early" in headers) 0 else headers["content-length"]?.toInt() ?: 0
            val body = String(input.readNBytes(length))
            val request = ReceivedRequest(lines.first(), headers, body)
            received.add(request)
            respond(request, socket)
        }
    }

    override fun close() = server.close()

    companion object {
        private const val BACKLOG = 50

        /** Writes a complete response to [request]. */
        fun respond(
            socket: Socket,
            request: ReceivedRequest,
            status: String = "200 OK",
            body: String = "ok",
            extra: String = "",
        ) {
            val head = "HTTP/1.1 $status\r\nX-Id: ${request.id}\r\nX-Stamp: stamp\r\n$extra"
            write(socket, "${head}Content-Length: ${body.length}\r\n\r\n$body")
        }

        /** Returns the next line without its end, or `null` if the input ends before. */
        fun readLine(input: InputStream): String? {
            val line = StringBuilder()
            while (true) {
                val byte = input.read()
                if (byte < 0) return null
                if (byte == '\n'.code) return line.toString().trimEnd('\r')
                line.append(byte.toChar())
            }
        }

        /** Writes [text] without buffering. */
        fun write(socket: Socket, text: String) = socket.getOutputStream().run {
            write(text.toByteArray())
            flush()
        }

        /** Closes the connection with a TCP reset. */
        fun reset(socket: Socket) {
            socket.setSoLinger(true, 0)
            socket.close()
        }
    }
}
