package org.anvilshed.core.membership

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time without a reply after which the same version is requested from another peer. */
private val REQUEST_TIMEOUT = 1.seconds

/** Time during which the same version is not requested again from a peer whose bundle was rejected. */
private val REJECTION_PAUSE = 30.seconds

/** Shortest time between two additional heartbeats to one peer; equal to the regular heartbeat interval. */
private val ANNOUNCE_INTERVAL = 500.milliseconds

/**
 * Decides for each received heartbeat whether to request a bundle from the sender or to announce the local bundle to
 * the sender. Not thread-safe.
 *
 * A version is requested from one peer at a time, so that a burst of heartbeats does not fetch a large bundle many
 * times. A peer that advertises a bundle that it cannot deliver blocks neither requests for other versions nor requests
 * to other peers.
 */
public class DisseminationState {
    private val requestedAt = mutableMapOf<Long, MonotonicTime>()
    private val rejectedAt = mutableMapOf<Pair<VmName, Long>, MonotonicTime>()
    private val announcedAt = mutableMapOf<VmName, MonotonicTime>()

    /** Returns the action after a heartbeat of [sender] with [advertised], while [inForce] is in force on this VM. */
    public fun onHeartbeat(
        sender: VmName,
        advertised: AdvertisedBundle?,
        inForce: AdvertisedBundle?,
        now: MonotonicTime,
    ): DisseminationAction {
        val advertisedVersion = advertised?.version ?: 0
        val versionInForce = inForce?.version ?: 0
        return when {
            advertisedVersion > versionInForce -> decideRequest(sender, advertisedVersion, now)

            advertisedVersion < versionInForce -> decideAnnouncement(sender, now)

            advertised != null && advertised.digest != inForce?.digest -> DisseminationAction.OtherDigest(advertised)

            else -> DisseminationAction.None
        }
    }

    /** Records that [version] came into force. The caller announces it to all neighbors immediately. */
    public fun onAccepted(version: Long) {
        requestedAt.keys.removeIf { it <= version }
        rejectedAt.keys.removeIf { it.second <= version }
    }

    /** Records that the bundle that [sender] sent on a request for [version] was rejected or that it sent none. */
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
        // Removes versions that no peer delivered, so that their number stays bounded.
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
