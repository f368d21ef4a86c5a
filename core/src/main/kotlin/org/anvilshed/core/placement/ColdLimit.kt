package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ingress.ServicePolicy

/**
 * Decides which VMs may send to the cold targets of one service, and when. Not thread-safe.
 *
 * @param self name of this VM.
 */
internal class ColdLimit(private val self: String, private val settings: PlacementSettings) {
    private var members: List<String> = listOf(self)
    private var ratePerSecond = 1.0
    private var senders = 1

    /** Takes over the limits of the service and the VMs that share them. */
    fun update(policy: ServicePolicy?, members: List<String>) {
        this.members = members
        ratePerSecond = (policy?.coldRequestsPerSecond ?: 1.0).coerceAtLeast(SMALLEST_RATE)
        senders = ColdAllowance.senderCount(ratePerSecond, settings.coldOvershoot, settings.coldSlack, members.size)
    }

    /** Returns whether this VM may send a request to the cold target of [load] at [now]. */
    fun allows(load: TargetLoad, now: MonotonicTime): Boolean =
        load.cold.isAvailable(now) && ColdAllowance.isSender(load.target.key.name, self, members, senders)

    /** Records that a request was sent to the cold target of [load]. */
    fun recordSent(load: TargetLoad, now: MonotonicTime) {
        load.cold.tryTake(ratePerSecond, senders, now)
    }

    private companion object {
        const val SMALLEST_RATE = 0.1
    }
}
