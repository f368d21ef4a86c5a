package org.anvilshed.gateway

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import org.anvilshed.core.MonotonicTime
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds

/**
 * Structured log of decisions: one line for each, with the values that led to it.
 *
 * At most [REQUEST_LINES_PER_SECOND] lines about requests are written; the next written line states how many were
 * omitted. All other lines are passed to the appender, which drops lines instead of blocking.
 */
public class DecisionLog(
    private val clock: MonotonicClock,
    private val logger: KLogger = KotlinLogging.logger("anvilshed"),
) {
    private var secondStartedAt = MonotonicTime(Long.MIN_VALUE / 2)
    private var linesInSecond = 0
    private val omittedLines = AtomicLong()

    /** Records a change of the process, or of what it knows about the store, targets and other VMs. */
    public fun info(event: String, vararg fields: Pair<String, Any?>): Unit = write(Level.INFO, event, fields)

    /** Records a condition that needs the attention of an operator. */
    public fun warning(event: String, vararg fields: Pair<String, Any?>): Unit = write(Level.WARN, event, fields)

    /** Records a decision about a request. Confined to the event loop. */
    public fun request(event: String, vararg fields: Pair<String, Any?>) {
        val now = clock()
        if (now - secondStartedAt >= 1.seconds) {
            secondStartedAt = now
            linesInSecond = 0
        }
        if (++linesInSecond > REQUEST_LINES_PER_SECOND) {
            omittedLines.incrementAndGet()
            return
        }
        val omitted = omittedLines.getAndSet(0)
        write(Level.INFO, event, if (omitted == 0L) fields else arrayOf(*fields, "left_out" to omitted))
    }

    private fun write(level: Level, event: String, fields: Array<out Pair<String, Any?>>) {
        logger.at(level) {
            message = event
            payload = fields.associate { (name, value) -> name to value.toString() }
        }
    }

    private companion object {
        /** About three times the peak request rate of one VM, so that usually no line is omitted. */
        const val REQUEST_LINES_PER_SECOND = 300
    }
}
