package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ingress.ServicePolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides when this VM may send a request to a target of one service whose rate all VMs share: a cold target, or one
 * that states a limit. If both apply, the lower rate counts. Not thread-safe.
 *
 * @param self name of this VM.
 */
internal class SharedRateLimiter(private val self: String, private val settings: () -> PlacementSettings) {
    private var members: List<String> = listOf(self)
    private var membersVersion = 0
    private var coldRequestsPerSecond = 1.0

    /** Replaces the limits of the service and the [members] that share them. */
    fun update(policy: ServicePolicy?, members: List<String>) {
        if (members != this.members) {
            this.members = members
            membersVersion++
        }
        coldRequestsPerSecond = policy?.coldRequestsPerSecond ?: 1.0
    }

    /** Returns whether this VM may send a request to the target of [load] at [now]. */
    fun allows(load: TargetLoad, now: MonotonicTime): Boolean = delay(load, now) == ZERO

    /** Returns the time from [now] until this VM may send to the target of [load]; infinite if others send to it. */
    fun delay(load: TargetLoad, now: MonotonicTime): Duration = load.rateCredit.delay(requestsPerSecond(load, now), now)

    /** Returns this VM's part of the rate that the target takes, in requests per second; infinite without a limit. */
    fun requestsPerSecond(load: TargetLoad, now: MonotonicTime): Double {
        val coldPart = if (load.isCold(now)) coldPart(load) else Double.POSITIVE_INFINITY
        val statedPart = load.rateLimit.requestsPerSecondOrNull?.let { statedPart(load, it, now) }
        return minOf(coldPart, statedPart ?: Double.POSITIVE_INFINITY)
    }

    private fun coldPart(load: TargetLoad): Double {
        val limits = settings()
        val rate = SharedRate(
            coldRequestsPerSecond.coerceAtLeast(MINIMUM_COLD_RATE),
            RateTolerance(1.seconds, limits.coldOvershoot, limits.coldSlack),
        )
        val senders = rate.senderCount(members.size)
        return if (isSender(load, senders)) rate.requestsPerSecond * COLD_RATE_FACTOR / senders else 0.0
    }

    private fun statedPart(load: TargetLoad, stated: Double, now: MonotonicTime): Double {
        val rate = SharedRate(stated.coerceAtLeast(MINIMUM_STATED_RATE), settings().statedRateTolerance)
        val own = load.rateLimit.sendsPerSecond(now)
        val senders = rate.senderCount(members.size)
        if (isSender(load, senders)) return rate.part(senders, own, load.rateLimit.sendsOfOthers)
        return if (mayVerify(load, now)) rate.part(senders = 1, own, load.rateLimit.sendsOfOthers) else 0.0
    }

    /**
     * Returns whether this VM may send to a target although others are its senders, to find out whether its limit still
     * holds: only a response shows that, and the senders have had none for long. One VM after the other may do so.
     */
    private fun mayVerify(load: TargetLoad, now: MonotonicTime): Boolean {
        val age = load.rateLimit.ageOrNull(now) ?: return false
        val turn = senderPosition(load).coerceAtMost(MAXIMUM_TURN)
        return age >= CONFIRMATION_LIFETIME + TURN_PERIOD * turn
    }

    private fun isSender(load: TargetLoad, senders: Int): Boolean =
        senders >= members.size || senderPosition(load) < senders

    private fun senderPosition(load: TargetLoad): Int = load.senderPosition(membersVersion, self, members)

    private companion object {
        const val MINIMUM_COLD_RATE = 0.1

        /**
         * A target that takes no requests at all still gets one in four seconds from all VMs together: only a response
         * shows that its limit has ended.
         */
        const val MINIMUM_STATED_RATE = 0.25

        /** Longer than the pause of senders at [MINIMUM_STATED_RATE] between two requests. */
        val CONFIRMATION_LIFETIME = 20.seconds

        /** Time for which one more VM may verify a limit; longer than the period of announcements. */
        val TURN_PERIOD = 500.milliseconds
        const val MAXIMUM_TURN = 20

        /** Fraction of a cold target's rate that is used, since requests that were sent evenly may arrive together. */
        const val COLD_RATE_FACTOR = 0.8
    }
}
