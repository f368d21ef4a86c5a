package org.anvilshed.gateway

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import org.anvilshed.core.MonotonicTime
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds

/**
 * Structured log of decisions: one line each, with what decided it.
 *
 * Lines about requests are bounded to [REQUEST_LINES_PER_SECOND]; those left out are counted in the next line that is
 * written. Lines about beliefs, starts and stops are always passed on; the appender drops lines rather than block.
 */
public class DecisionLog(
    private val clock: MonotonicClock,
    private val logger: KLogger = KotlinLogging.logger("anvilshed"),
) {
    private var secondStartedAt = MonotonicTime(Long.MIN_VALUE / 2)
    private var linesInSecond = 0
    private val leftOut = AtomicLong()

    /** Records a change of what the process believes about its surroundings. */
    public fun info(event: String, vararg fields: Pair<String, Any?>): Unit = write(Level.INFO, event, fields)

    /** Records a condition that an operator should look at. */
    public fun warning(event: String, vararg fields: Pair<String, Any?>): Unit = write(Level.WARN, event, fields)

    /** Records a decision about one request. Called from the event loop alone. */
    public fun request(event: String, vararg fields: Pair<String, Any?>) {
        val now = clock()
        if (now - secondStartedAt >= 1.seconds) {
            secondStartedAt = now
            linesInSecond = 0
        }
        if (++linesInSecond > REQUEST_LINES_PER_SECOND) {
            leftOut.incrementAndGet()
            return
        }
        val missing = leftOut.getAndSet(0)
        write(Level.INFO, event, if (missing == 0L) fields else arrayOf(*fields, "left_out" to missing))
    }

    private fun write(level: Level, event: String, fields: Array<out Pair<String, Any?>>) {
        logger.at(level) {
            message = event
            payload = fields.associate { (name, value) -> name to value.toString() }
        }
    }

    private companion object {
        /** About three times the requests of one VM on the heaviest measured days. */
        const val REQUEST_LINES_PER_SECOND = 300
    }
}
