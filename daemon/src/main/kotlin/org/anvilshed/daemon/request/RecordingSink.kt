package org.anvilshed.daemon.request

import io.vertx.core.buffer.Buffer
import org.anvilshed.core.execution.RecordedAnswer

/**
 * Collects a response of at most [limit] bytes, so that it can be recorded and sent when it is complete, whether or not
 * its receiver is still there. A longer response is passed on to [receiver] as it arrives and is not recorded.
 */
internal class RecordingSink(private val receiver: ResponseSink, private val limit: Int) : ResponseSink {
    private var head: ResponseHead? = null
    private var collected: Buffer? = Buffer.buffer()

    /** Whether the response has been passed on to the receiver. */
    val isPassedOn: Boolean get() = collected == null

    override suspend fun begin(head: ResponseHead) {
        this.head = head
    }

    override suspend fun write(bytes: Buffer) {
        val present = collected
        if (present != null && present.length() + bytes.length() <= limit) {
            present.appendBuffer(bytes)
            return
        }
        if (present != null) {
            collected = null
            receiver.begin(checkNotNull(head) { "a body without a head" })
            if (present.length() > 0) receiver.write(present)
        }
        receiver.write(bytes)
    }

    override suspend fun end() {
        if (isPassedOn) receiver.end()
    }

    /** Returns the complete response, or `null` if it was too long. */
    fun answerOrNull(): RecordedAnswer? {
        val body = collected ?: return null
        val start = checkNotNull(head) { "a response without a head" }
        return RecordedAnswer(start.status, start.headers.map { it.name to it.value }, body.bytes, start.target)
    }
}
