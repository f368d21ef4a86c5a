package org.anvilshed.core.membership

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time after which the same version is requested from another peer if no reply came. */
private val REQUEST_TIMEOUT = 1.seconds

/** Time for which a peer whose bundle was rejected is not asked for the same version again. */
private val REJECTION_PAUSE = 30.seconds

/** Shortest time between two extra heartbeats to one peer; its regular interval. */
private val ANNOUNCE_INTERVAL = 500.milliseconds

/**
 * Decides on each heartbeat whether to request a bundle from the sender or to announce the own one to it. One thread
 * owns it.
 *
 * A version is requested from one peer at a time, so that a burst of heartbeats does not fetch a large bundle many
 * times. A peer that advertises what it cannot prove does not keep other versions or other peers from being asked.
 */
public class DisseminationState {
    private val requestedAt = mutableMapOf<Long, MonotonicTime>()
    private val rejectedAt = mutableMapOf<Pair<VmName, Long>, MonotonicTime>()
    private val announcedAt = mutableMapOf<VmName, MonotonicTime>()

    /** Decides on a heartbeat of [sender], which has [theirs] in force, while this VM has [own] in force. */
    public fun onHeartbeat(
        sender: VmName,
        theirs: AdvertisedBundle?,
        own: AdvertisedBundle?,
        now: MonotonicTime,
    ): DisseminationAction {
        val theirVersion = theirs?.version ?: 0
        val ownVersion = own?.version ?: 0
        return when {
            theirVersion > ownVersion -> decideRequest(sender, theirVersion, now)
            theirVersion < ownVersion -> decideAnnouncement(sender, now)
            theirs != null && theirs.digest != own?.digest -> DisseminationAction.OtherDigest(theirs)
            else -> DisseminationAction.None
        }
    }

    /** Notes that [version] came into force. Announce it to all neighbors at once. */
    public fun onAccepted(version: Long) {
        requestedAt.keys.removeIf { it <= version }
        rejectedAt.keys.removeIf { it.second <= version }
    }

    /** Notes that the reply of [sender] to the request for [version] was rejected, or that it had no such bundle. */
    public fun onRejected(sender: VmName, version: Long, now: MonotonicTime) {
        requestedAt -= version
        rejectedAt.values.removeIf { now - it > REJECTION_PAUSE }
        rejectedAt[sender to version] = now
    }

    private fun decideRequest(sender: VmName, version: Long, now: MonotonicTime): DisseminationAction {
        val rejected = rejectedAt[sender to version]
        if (rejected != null && now - rejected <= REJECTION_PAUSE) return DisseminationAction.None
        val requested = requestedAt[version]
        if (requested != null && now - requested <= REQUEST_TIMEOUT) return DisseminationAction.None
        // Versions that no peer could deliver do not pile up.
        requestedAt.values.removeIf { now - it > REQUEST_TIMEOUT }
        requestedAt[version] = now
        return DisseminationAction.RequestBundle(version)
    }

    private fun decideAnnouncement(sender: VmName, now: MonotonicTime): DisseminationAction {
        val announced = announcedAt[sender]
        if (announced != null && now - announced < ANNOUNCE_INTERVAL) return DisseminationAction.None
        announcedAt.values.removeIf { now - it >= ANNOUNCE_INTERVAL }
        announcedAt[sender] = now
        return DisseminationAction.AnnounceOwn
    }
}
