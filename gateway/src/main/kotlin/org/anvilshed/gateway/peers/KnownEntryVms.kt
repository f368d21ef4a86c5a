package org.anvilshed.gateway.peers

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import org.anvilshed.core.isValidName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Another entry VM, as described by its latest announcement.
 *
 * @property callers address for callers.
 * @property control address for other entry VMs.
 * @property receivedAt when that announcement arrived.
 */
public data class PeerVm(
    public val name: VmName,
    public val zone: ZoneName,
    public val callers: SocketAddress,
    public val control: SocketAddress,
    public val announcement: Announcement,
    public val receivedAt: MonotonicTime,
)

/** What a received announcement changed. */
public enum class PeerChange {
    /** The VM sent no announcement within [KnownEntryVms.SILENCE_LIMIT] before, or its process is new. */
    APPEARED,

    /** The VM began or stopped to accept callers. */
    CHANGED,

    /** At most load, revisions and peers. */
    NONE,

    /** The announcement is outdated, invalid or from this VM. */
    IGNORED,
}

/** Entry VMs that this one knows from their announcements or from the store. Not thread-safe. */
public class KnownEntryVms(private val self: VmName) {
    private val peers = HashMap<VmName, PeerVm>()
    private val registered = HashSet<String>()

    /** Records an [announcement] that arrived at [now]. */
    public fun receive(announcement: Announcement, now: MonotonicTime): PeerChange {
        val peer = toPeerOrNull(announcement, now) ?: return PeerChange.IGNORED
        if (peer.name == self) return PeerChange.IGNORED
        val previous = peers[peer.name]
        if (previous != null && !isNewer(peer, previous)) return PeerChange.IGNORED
        peers[peer.name] = peer
        return when {
            previous == null || now - previous.receivedAt >= SILENCE_LIMIT -> PeerChange.APPEARED
            previous.announcement.startedAtMillis != announcement.startedAtMillis -> PeerChange.APPEARED
            previous.announcement.acceptsCallers != announcement.acceptsCallers -> PeerChange.CHANGED
            else -> PeerChange.NONE
        }
    }

    /** Replaces the names of the VMs that are registered in the store. */
    public fun replaceRegistered(names: Collection<String>) {
        registered.clear()
        registered.addAll(names)
    }

    /** Returns the VMs whose announcements arrived within [SILENCE_LIMIT] before [now]. */
    public fun live(now: MonotonicTime): List<PeerVm> = peers.values.filter { now - it.receivedAt < SILENCE_LIMIT }

    /** Returns the live VMs to which callers may be sent. */
    public fun acceptingCallers(now: MonotonicTime): List<PeerVm> = live(now).filter { it.announcement.acceptsCallers }

    /** Returns the VMs that sent an announcement within [RETENTION]; silent ones may still send requests to targets. */
    public fun recentlyLive(now: MonotonicTime): List<PeerVm> = peers.values.filter {
        now - it.receivedAt <
            RETENTION
    }

    /**
     * Returns the VMs that may still send requests to targets at [now]; a VM that is silent since it stopped to accept
     * callers has ended.
     */
    public fun possibleSenders(now: MonotonicTime): List<PeerVm> = recentlyLive(now).filter {
        it.announcement.acceptsCallers || now - it.receivedAt < SILENCE_LIMIT
    }

    /** Returns the sorted names of all VMs that may use a part of a shared limit, including this VM. */
    public fun limitParticipants(now: MonotonicTime): List<String> =
        (registered + recentlyLive(now).map { it.name.value } + self.value).sorted()

    private fun isNewer(peer: PeerVm, previous: PeerVm): Boolean {
        val startedAt = peer.announcement.startedAtMillis
        val previousStartedAt = previous.announcement.startedAtMillis
        if (startedAt == previousStartedAt) return peer.announcement.sequence > previous.announcement.sequence
        // The clock may have been set back between the two starts, so only silence shows that a process has ended.
        return startedAt > previousStartedAt || peer.receivedAt - previous.receivedAt >= SILENCE_LIMIT
    }

    private fun toPeerOrNull(announcement: Announcement, now: MonotonicTime): PeerVm? {
        if (!isValidName(announcement.name) || !isValidName(announcement.zone)) return null
        val callers = SocketAddress.parseOrNull(announcement.callers) ?: return null
        val control = SocketAddress.parseOrNull(announcement.control) ?: return null
        return PeerVm(VmName(announcement.name), ZoneName(announcement.zone), callers, control, announcement, now)
    }

    public companion object {
        /** Several announcement periods: a shorter silence may come from usual packet loss or a busy processor. */
        public val SILENCE_LIMIT: kotlin.time.Duration = 1500.milliseconds

        /** Long enough for a killed VM to restart; its parts of shared limits stay reserved until then. */
        public val RETENTION: kotlin.time.Duration = 30.seconds
    }
}
