package org.anvilshed.gateway

import io.vertx.core.buffer.Buffer

/**
 * Bytes of a message that are held in memory while it arrives.
 *
 * Takes from the budget what is allocated, not only what is filled: a buffer that grows by doubling would need twice
 * the memory that its length tells. Confined to the event loop.
 */
internal class HeldBytes(private val memory: MemoryBudget.Reservation) {
    private val blocks = ArrayList<Buffer>()
    private var room = 0

    /** Number of bytes. */
    var length = 0
        private set

    /** The bytes in order. */
    val parts: List<Buffer>
        get() = blocks

    /** Appends [bytes] if the budget has memory for them; returns whether it had. */
    fun tryAppend(bytes: Buffer): Boolean {
        val count = bytes.length()
        val fitting = minOf(count, room)
        if (fitting < count) {
            val smallest = if (blocks.isEmpty()) FIRST_BLOCK_BYTES else BLOCK_BYTES
            val capacity = maxOf(count - fitting, smallest)
            if (!memory.tryGrow(capacity)) return false
            if (fitting > 0) blocks.last().appendBuffer(bytes, 0, fitting)
            blocks.add(Buffer.buffer(capacity).appendBuffer(bytes, fitting, count - fitting))
            room = capacity - (count - fitting)
        } else if (count > 0) {
            blocks.last().appendBuffer(bytes)
            room -= count
        }
        length += count
        return true
    }

    /** Returns all bytes in one buffer. */
    fun toBuffer(): Buffer {
        if (blocks.size == 1) return blocks.single()
        val whole = Buffer.buffer(length)
        blocks.forEach { whole.appendBuffer(it) }
        return whole
    }

    private companion object {
        /** Most messages are shorter. */
        const val FIRST_BLOCK_BYTES = 1_024

        /** Small beside the longest message that is held, and many times larger than its own overhead. */
        const val BLOCK_BYTES = 16_384
    }
}
