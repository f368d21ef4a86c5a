package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ingress.ServicePolicy

/**
 * Decides whether this VM may send a request to a cold target of one service. Not thread-safe.
 *
 * Applies the limits of the service and paces the requests to each target with its [ColdTargetPacer].
 *
 * @param self name of this VM.
 */
internal class ServiceColdStartLimiter(private val self: String, private val settings: () -> PlacementSettings) {
    private var members: List<String> = listOf(self)
    private var ratePerSecond = 1.0
    private var senders = 1

    /** Replaces the limits of the service and the [members] that share them. */
    fun update(policy: ServicePolicy?, members: List<String>) {
        this.members = members
        ratePerSecond = (policy?.coldRequestsPerSecond ?: 1.0).coerceAtLeast(MINIMUM_RATE)
        val limits = settings()
        senders = ColdTargetPacer.senderCount(ratePerSecond, limits.coldOvershoot, limits.coldSlack, members.size)
    }

    /** Returns whether this VM may send a request to the cold target of [load] at [now]. */
    fun allows(load: TargetLoad, now: MonotonicTime): Boolean =
        load.coldPacer.isAvailable(now) && ColdTargetPacer.isSender(load.target.key.name, self, members, senders)

    /** Records that a request was sent to the cold target of [load]. */
    fun recordSent(load: TargetLoad, now: MonotonicTime) {
        load.coldPacer.tryTake(ratePerSecond, senders, now)
    }

    private companion object {
        const val MINIMUM_RATE = 0.1
    }
}
