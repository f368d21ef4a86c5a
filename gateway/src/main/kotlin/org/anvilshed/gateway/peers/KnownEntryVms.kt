package org.anvilshed.gateway.peers

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import org.anvilshed.core.isValidName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Other entry VM as it announced itself.
 *
 * @property heardAt when its last announcement arrived.
 */
public data class PeerVm(
    public val name: VmName,
    public val zone: ZoneName,
    public val callers: SocketAddress,
    public val control: SocketAddress,
    public val announcement: Announcement,
    public val receivedAt: MonotonicTime,
)

/** What changed with an announcement. */
public enum class PeerChange {
    /** A VM that was not heard lately, or a new process of it. */
    APPEARED,

    /** A VM that stopped or began to take callers. */
    CHANGED,

    /** Nothing but load and revisions. */
    NONE,

    /** An old or damaged announcement. */
    IGNORED,
}

/** Entry VMs that this one heard or read about. Not thread-safe. */
public class KnownEntryVms(private val self: VmName) {
    private val peers = HashMap<VmName, PeerVm>()
    private val registered = HashSet<String>()

    /** Takes over an [announcement] that arrived at [now]. */
    public fun receive(announcement: Announcement, now: MonotonicTime): PeerChange {
        val peer = toPeerOrNull(announcement, now) ?: return PeerChange.IGNORED
        if (peer.name == self) return PeerChange.IGNORED
        val former = peers[peer.name]
        if (former != null && isOlder(announcement, former.announcement)) return PeerChange.IGNORED
        peers[peer.name] = peer
        return when {
            former == null || now - former.receivedAt >= SILENCE_LIMIT -> PeerChange.APPEARED
            former.announcement.startedAtMillis != announcement.startedAtMillis -> PeerChange.APPEARED
            former.announcement.acceptsCallers != announcement.acceptsCallers -> PeerChange.CHANGED
            else -> PeerChange.NONE
        }
    }

    /** Takes over the names of the VMs that are registered in the store. */
    public fun replaceRegistered(names: Collection<String>) {
        registered.clear()
        registered.addAll(names)
    }

    /** VMs that were heard within [SILENCE_LIMIT]. */
    public fun live(now: MonotonicTime): List<PeerVm> = peers.values.filter { now - it.receivedAt < SILENCE_LIMIT }

    /** VMs that callers may be sent to. */
    public fun acceptingCallers(now: MonotonicTime): List<PeerVm> = live(now).filter { it.announcement.acceptsCallers }

    /** All VMs heard within [RETENTION]; they may still be sending even if they can't be heard. */
    public fun recentlyReceived(now: MonotonicTime): List<PeerVm> = peers.values.filter {
        now - it.receivedAt <
            RETENTION
    }

    /** Names of all VMs that may hold a part of a shared limit, this one included, in order. */
    public fun limitParticipants(now: MonotonicTime): List<String> =
        (registered + recentlyReceived(now).map { it.name.value } + self.value).sorted()

    private fun isOlder(announcement: Announcement, former: Announcement): Boolean =
        compareValuesBy(announcement, former, { it.startedAtMillis }, { it.sequence }) <= 0

    private fun toPeerOrNull(announcement: Announcement, now: MonotonicTime): PeerVm? {
        if (!isValidName(announcement.name) || !isValidName(announcement.zone)) return null
        val callers = SocketAddress.parseOrNull(announcement.callers) ?: return null
        val control = SocketAddress.parseOrNull(announcement.control) ?: return null
        return PeerVm(VmName(announcement.name), ZoneName(announcement.zone), callers, control, announcement, now)
    }

    public companion object {
        /** Silence of several announcement periods, longer than usual packet loss or a busy processor explains. */
        public val SILENCE_LIMIT: kotlin.time.Duration = 1500.milliseconds

        /** A VM that was killed starts again within seconds; its parts of shared limits are not used meanwhile. */
        public val RETENTION: kotlin.time.Duration = 30.seconds
    }
}
