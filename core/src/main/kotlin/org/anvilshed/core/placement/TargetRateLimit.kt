package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Rate limit of one target as it stated it to this VM or, later, to another VM that announced it; and the rates at
 * which VMs send to the target. Not thread-safe.
 */
internal class TargetRateLimit {
    private var statement: RateLimitStatement = RateLimitStatement.Unlimited
    private var statedAt: MonotonicTime? = null
    private var isStatedHere = false

    /** Whether the target ever stated a limit; only then others need to know that it has none. */
    private var hadLimit = false
    private val sends = SlidingWindowCounter(SEND_RATE_WINDOW)

    /** Rate at which other VMs sent to the target recently, as they announced, in requests per second. */
    var sendsOfOthers = 0.0
        private set

    /** Requests per second that the target takes from all VMs together; `null` if it states no limit. */
    val requestsPerSecondOrNull: Double?
        get() = (statement as? RateLimitStatement.Limited)?.requestsPerSecond

    /** Returns the time since the target stated the limit, or `null` if it never stated any. */
    fun ageOrNull(now: MonotonicTime): Duration? = statedAt?.let { now - it }

    /** Rate at which this VM sent to the target recently, in requests per second. */
    fun sendsPerSecond(now: MonotonicTime): Double = sends.count(now) / SEND_RATE_WINDOW.toDouble(DurationUnit.SECONDS)

    /** Records a request that was sent to the target at [now]. */
    fun recordSent(now: MonotonicTime): Unit = sends.add(now)

    /** Records [stated] of a response that arrived at [now]; returns whether it changed the limit. */
    fun record(stated: RateLimitStatement, now: MonotonicTime): Boolean {
        if (stated == RateLimitStatement.Unreadable) return false
        isStatedHere = true
        return replace(stated, now)
    }

    /** Records what other VMs announced; their statement counts if the target made it after the one known here. */
    fun recordAnnounced(announced: TargetRate?) {
        sendsOfOthers = announced?.sendsPerSecond ?: 0.0
        val stated = announced?.statement ?: return
        if (statedAt?.let { announced.statedAt <= it } == true) return
        isStatedHere = false
        replace(stated, announced.statedAt)
    }

    /** Returns what other VMs need to know about the target at [now], or `null` if there is nothing. */
    fun announcementOrNull(now: MonotonicTime): TargetRate? {
        val at = statedAt ?: return null
        val isEnded = requestsPerSecondOrNull == null
        if (!hadLimit || (isEnded && now - at >= END_ANNOUNCEMENT_TIME)) return null
        val rate = TargetRate(statement.takeIf { isStatedHere }, at, sendsPerSecond(now))
        return rate.takeIf { it.statement != null || it.sendsPerSecond > 0.0 }
    }

    private fun replace(stated: RateLimitStatement, at: MonotonicTime): Boolean {
        val isChanged = stated != statement
        statement = stated
        statedAt = at
        if (stated is RateLimitStatement.Limited) hadLimit = true
        return isChanged
    }

    private companion object {
        /** Long enough that a sender with a seventh of a rate of 2/s sends in it, and short against waves of load. */
        val SEND_RATE_WINDOW: Duration = 4.seconds

        /** Time for which the end of a limit is announced: many times the period of announcements. */
        val END_ANNOUNCEMENT_TIME: Duration = 10.seconds
    }
}
