package org.anvilshed.http

import io.netty.buffer.ByteBuf

private const val CR = '\r'.code.toByte()
private const val LF = '\n'.code.toByte()
private const val SPACE = ' '.code.toByte()
private const val TAB = '\t'.code.toByte()
private const val SEMICOLON = ';'.code.toByte()
private const val DELETE: Byte = 0x7f
private const val BYTE_MASK = 0xff
private const val HEXADECIMAL = 16
private const val VERSION_LENGTH = "HTTP/1.1".length
private const val STATUS_END = "HTTP/1.1 200".length

/**
 * Finds faults in the syntax of responses that Netty's decoder passes over: control characters in front of a status
 * line or in it, other separators than a space, folded lines, and bytes beside the size of a chunk.
 *
 * Each byte is checked before the decoder consumes it. The decoder itself checks the ends of lines, names and values of
 * fields, and the length of the body.
 *
 * @see <a href="https://www.rfc-editor.org/rfc/rfc9112.html#name-obsolete-line-folding">RFC 9112, section 5.2</a>
 * @see <a href="https://www.rfc-editor.org/rfc/rfc9112.html#name-chunked-transfer-coding">RFC 9112, section 7.1</a>
 */
internal class ResponseSyntaxChecker {
    private enum class Part { STATUS_LINE, FIELDS, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILERS, UNCHECKED }

    private var part = Part.STATUS_LINE

    /** Number of checked bytes that the decoder has not consumed. */
    private var checkedAhead = 0

    /** Number of bytes of the current chunk that were not received yet. */
    private var missingChunkBytes = 0

    /** The first fault that was found; `null` if there is none. */
    var fault: String? = null
        private set

    /** Whether the head of the current response has not ended. */
    val isInHead: Boolean
        get() = part == Part.STATUS_LINE || part == Part.FIELDS

    /** Checks the readable bytes of [input] up to the end of the current head or body. */
    fun check(input: ByteBuf) {
        var index = input.readerIndex() + checkedAhead
        var next = checkNext(input, index)
        while (next != index && fault == null) {
            index = next
            next = checkNext(input, index)
        }
        checkedAhead = index - input.readerIndex()
    }

    /** Must be called when the decoder has consumed [byteCount] bytes. */
    fun onConsumed(byteCount: Int) {
        checkedAhead = (checkedAhead - byteCount).coerceAtLeast(0)
    }

    /** Must be called when the decoder has passed on a head. */
    fun onHead(isChunked: Boolean) {
        if (isChunked) part = Part.CHUNK_SIZE
    }

    /** Must be called when the decoder has passed on the end of a response. */
    fun onEnd() {
        part = Part.STATUS_LINE
    }

    /** Returns where the check goes on, which is [index] if it needs more bytes or has found a fault. */
    private fun checkNext(input: ByteBuf, index: Int): Int = when (part) {
        Part.STATUS_LINE -> checkStatusLine(input, index)
        Part.FIELDS, Part.TRAILERS -> checkField(input, index)
        Part.CHUNK_SIZE -> checkChunkSize(input, index)
        Part.CHUNK_DATA -> skipChunkData(input, index)
        Part.CHUNK_END -> checkChunkEnd(input, index)
        Part.UNCHECKED -> index
    }

    private fun checkStatusLine(input: ByteBuf, index: Int): Int {
        // Line ends between responses are ignored.
        val start = input.forEachByte(index, input.writerIndex() - index) { it == CR || it == LF }
        if (start < 0) return input.writerIndex()
        if (input.getByte(start) != 'H'.code.toByte()) return fail(index, "no status line at the start of a response")
        val end = lineEnd(input, start)
        if (end < 0) return start
        val textEnd = textEnd(input, start, end)
        val isSound = textEnd - start >= STATUS_END &&
            input.getByte(start + VERSION_LENGTH) == SPACE &&
            (textEnd - start == STATUS_END || input.getByte(start + STATUS_END) == SPACE) &&
            isText(input, start, textEnd)
        if (!isSound) return fail(index, "separator or control character in the status line")
        part = Part.FIELDS
        return end + 1
    }

    private fun checkField(input: ByteBuf, index: Int): Int {
        val end = lineEnd(input, index)
        if (end < 0) return index
        val first = input.getByte(index)
        if (first == SPACE || first == TAB) return fail(index, "line that begins with a space")
        if (textEnd(input, index, end) == index) part = Part.UNCHECKED
        return end + 1
    }

    private fun checkChunkSize(input: ByteBuf, index: Int): Int {
        val end = lineEnd(input, index)
        if (end < 0) return index
        val textEnd = textEnd(input, index, end)
        var size = 0L
        var position = index
        while (position < textEnd && size <= Int.MAX_VALUE) {
            val digit = Character.digit(input.getByte(position).toInt() and BYTE_MASK, HEXADECIMAL)
            if (digit < 0) break
            size = size * HEXADECIMAL + digit
            position++
        }
        val hasExtension = position < textEnd
        val isSound = position > index &&
            size <= Int.MAX_VALUE &&
            (!hasExtension || (input.getByte(position) == SEMICOLON && isText(input, position, textEnd)))
        if (!isSound) return fail(index, "invalid size or extension of a chunk")
        missingChunkBytes = size.toInt()
        part = if (missingChunkBytes == 0) Part.TRAILERS else Part.CHUNK_DATA
        return end + 1
    }

    private fun skipChunkData(input: ByteBuf, index: Int): Int {
        val length = minOf(missingChunkBytes, input.writerIndex() - index)
        missingChunkBytes -= length
        if (missingChunkBytes == 0) part = Part.CHUNK_END
        return index + length
    }

    private fun checkChunkEnd(input: ByteBuf, index: Int): Int {
        if (input.writerIndex() - index < 2) return index
        if (input.getByte(index) != CR || input.getByte(index + 1) != LF) {
            return fail(index, "chunk is longer than its size")
        }
        part = Part.CHUNK_SIZE
        return index + 2
    }

    private fun fail(index: Int, fault: String): Int {
        this.fault = fault
        return index
    }

    /** Returns the index of the next line feed, or -1 if there is none. */
    private fun lineEnd(input: ByteBuf, start: Int): Int = input.indexOf(start, input.writerIndex(), LF)

    /** Returns the end of the text of a line from [start] to its line feed at [end]. */
    private fun textEnd(input: ByteBuf, start: Int, end: Int): Int =
        if (end > start && input.getByte(end - 1) == CR) end - 1 else end

    /** Returns whether there are no control characters but tabs; RFC 9110, section 5.5, allows bytes from 0x80. */
    private fun isText(input: ByteBuf, start: Int, end: Int): Boolean =
        input.forEachByte(start, end - start) { it < 0 || (it >= SPACE && it != DELETE) || it == TAB } < 0
}
