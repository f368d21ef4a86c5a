package org.anvilshed.daemon.request

import io.vertx.core.buffer.Buffer
import org.anvilshed.core.execution.RecordedAnswer

/**
 * Collects a response whose body has at most [limit] bytes. The complete response can then be recorded even if its
 * receiver has gone away. A longer response is passed on to [receiver] as it arrives and is not recorded.
 */
internal class RecordingSink(private val receiver: ResponseSink, private val limit: Int) : ResponseSink {
    private var head: ResponseHead? = null
    private var collected: Buffer? = Buffer.buffer()

    /** Whether the response is too long to be collected and is passed on to the receiver. */
    val isPassedOn: Boolean get() = collected == null

    override suspend fun begin(head: ResponseHead) {
        this.head = head
    }

    override suspend fun write(bytes: Buffer) {
        val body = collected
        if (body != null && body.length() + bytes.length() <= limit) {
            body.appendBuffer(bytes)
            return
        }
        if (body != null) {
            collected = null
            receiver.begin(checkNotNull(head) { "body of a response that has not begun" })
            if (body.length() > 0) receiver.write(body)
        }
        receiver.write(bytes)
    }

    override suspend fun end() {
        if (isPassedOn) receiver.end()
    }

    /** Returns the collected response, to be called after its end, or `null` if it was too long. */
    fun answerOrNull(): RecordedAnswer? {
        val body = collected ?: return null
        val start = checkNotNull(head) { "the response has not begun" }
        return RecordedAnswer(start.status, start.headers.map { it.name to it.value }, body.bytes, start.target)
    }
}
