package org.anvilshed.core.seats

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.ZoneName
import kotlin.math.abs
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Largest age of a read on whose result a write may be based. */
private val READ_VALIDITY = 500.milliseconds
private val CONFLICT_BACKOFF = 20.milliseconds
private val FAILURE_BACKOFF = 100.milliseconds
private const val MAXIMUM_BACKOFF_DOUBLINGS = 4

/** Time without a renewal after which a member is suspected to have ended and connection attempts to it begin. */
private val SUSPICION_DELAY = ShareTiming.RENEWAL_PERIOD * 1.5

/** Relative change up to which the ledger keeps the old demand, so that shares do not change owners all the time. */
private const val DEMAND_TOLERANCE = 0.25

/**
 * State of one process as a member of the ledger of one scope: what to read and write next, and which shares the
 * process may use.
 *
 * A member leases its shares in two ways. Each write of its ledger entry renews its lease. In addition, its monitor,
 * another member of the same zone, grants it a peer lease with the acknowledgement of each heartbeat, so that the
 * shares remain usable while the platform is unavailable, up to the isolation limit. A member without a monitor may
 * use its shares until the isolation limit.
 *
 * This class does no I/O. Its caller reads and writes the platform, exchanges heartbeats and attempts connections, and
 * reports the results, which may arrive late or twice. All methods must be called by one coroutine at a time; only
 * [usable] may be read by any thread.
 *
 * ```
 * while (!holder.hasLeft) {
 *     val usable = holder.refresh(clock.now())
 *     val applied = slotPool.update(targets, usable, clock.now()) // AppliedShares(usable, fits = true) for a region
 *     when (val action = holder.next(clock.now(), applied)) {
 *         is LedgerAction.Read -> holder.readFinished(read(holder.scope.key), clock.now())
 *         is LedgerAction.Write -> holder.writeFinished(action.writeId, write(action), clock.now())
 *         is LedgerAction.Wait -> delayUntil(action.until) // or until an event is reported; at most 250 ms
 *     }
 * }
 * ```
 *
 * The process must accept connections at [address] before the first call of [next], since refused connections prove to
 * the other members that it has ended. The ledger object must not be deleted while a member runs.
 *
 * @property identity this process.
 * @property zone zone of this process, which may differ from the zone of [scope].
 * @property address peer address (IP:port) of this process.
 * @param settings settings from the bundle in force.
 * @param random source of write identifiers and of the jitter of retries.
 */
public class ShareHolder(
    public val scope: ShareScope,
    public val identity: VmIdentity,
    public val zone: ZoneName,
    public val address: String,
    private var settings: ShareSettings,
    private val random: Random,
) {
    /** Shares taken over from a removed member, which this process must not use before [until]. */
    private class Quarantine(val shares: ShareSet, val until: MonotonicTime)

    private val replica = LedgerReplica(identity)
    private val liveness = MemberLiveness()
    private val peerLeasesGranted = HashMap<VmIdentity, MonotonicTime>()
    private val peerLeasesReceived = HashMap<VmIdentity, MonotonicTime>()
    private var quarantines = listOf<Quarantine>()
    private var handingOver = ShareSet.none(0)
    private var leaseStart: MonotonicTime? = null
    private var renewal = 0L
    private var demand = 0.0
    private var deadlineLoweredAt: MonotonicTime? = null
    private var noLocalMemberSince: MonotonicTime? = null
    private var leaving = false
    private var finishing = false
    private var lastRead: MonotonicTime? = null
    private var retryAt = MonotonicTime(Long.MIN_VALUE)
    private var renewAt = MonotonicTime(Long.MIN_VALUE)
    private var failedAttempts = 0

    /** Shares that this process may use now; other methods replace the snapshot. */
    @Volatile
    public var usable: UsableShares = UsableShares.NONE
        private set

    /** Whether this process has left the ledger for good, after [finish] or because it is retired. */
    public var hasLeft: Boolean = false
        private set

    /** Newest known state of the ledger, or `null` before the first read. */
    public val ledgerOrNull: ShareLedger? get() = replica.ledger

    /** Whether this process is a member in the newest known state of the ledger. */
    public val isMember: Boolean get() = replica.ledger?.memberOrNull(identity) != null

    private val isFinishing: Boolean get() = finishing || identity in settings.retired

    private val isOfOtherZone: Boolean get() = scope is ShareScope.OfZone && scope.zone != zone

    /**
     * Recomputes and returns [usable] for [now]: shares whose quarantine has ended become usable, and shares to be
     * handed over are excluded. The caller applies the result before it calls [next].
     */
    public fun refresh(now: MonotonicTime): UsableShares {
        val remaining = quarantines.filter { now < it.until }
        // Renews at once, since shares that other members should own can be handed over only by a write.
        if (remaining.size < quarantines.size) renewAt = now
        quarantines = remaining
        handingOver = sharesToHandOver(now)
        publish()
        return usable
    }

    /**
     * Returns the action to carry out at [now].
     *
     * @param applied report of the request path; shares are handed over only if the request path applies [usable] and
     *   all requests in flight fit.
     */
    public fun next(now: MonotonicTime, applied: AppliedShares): LedgerAction {
        val readAt = lastRead
        val action = when {
            hasLeft -> LedgerAction.Wait(now + ShareTiming.RENEWAL_PERIOD)
            now < retryAt -> LedgerAction.Wait(retryAt)
            now < renewAt && !isRemovalDue(now) -> LedgerAction.Wait(renewAt)
            readAt == null || now - readAt > READ_VALIDITY -> LedgerAction.Read
            replica.pending != null -> retransmit()
            else -> update(now, applied)
        }
        publish()
        return action
    }

    /** Reports that a read of the ledger ended at [now]. A state older than the known one is ignored. */
    public fun readFinished(result: LedgerReadResult, now: MonotonicTime) {
        when (result) {
            is LedgerReadResult.Found -> {
                val write = replica.readFinished(result)
                if (result.version >= replica.version) replica.ledger?.let { liveness.observe(it, now) }
                if (write != null) updateApplied(write, now)
                if (!isMember) leaseStart = null
            }
            LedgerReadResult.Absent -> Unit
            LedgerReadResult.Failed -> {
                postpone(now, FAILURE_BACKOFF)
                return
            }
        }
        lastRead = now
        recordLocalMembers(now)
        publish()
    }

    /** Reports that the write [writeId] ended at [now] with [result]. */
    public fun writeFinished(writeId: Long, result: LedgerWriteResult, now: MonotonicTime) {
        val isPending = replica.pending?.action?.writeId == writeId
        val write = replica.writeFinished(writeId, result)
        when {
            write != null -> {
                replica.ledger?.let { liveness.observe(it, now) }
                updateApplied(write, now)
            }
            isPending -> postpone(now, if (result == LedgerWriteResult.Conflict) CONFLICT_BACKOFF else FAILURE_BACKOFF)
        }
        publish()
    }

    /**
     * Grants a peer lease to [member] from [now] on. While the peer lease lasts, this process does not use its right as
     * the monitor of [member] to remove it. To be called immediately before the acknowledgement of a heartbeat of
     * [member] is sent, which carries the result.
     *
     * @return `false`, without effect, if [member] is not in the ledger or its removal may have been written.
     */
    public fun grantPeerLease(member: VmIdentity, now: MonotonicTime): Boolean {
        if (replica.pending?.removed.orEmpty().any { it.identity == member }) return false
        if (replica.ledger?.memberOrNull(member) == null) return false
        peerLeasesGranted.values.removeIf { now - it >= ShareTiming.REMOVAL_DELAY }
        peerLeasesGranted[member] = now
        return true
    }

    /** Reports that [monitor] granted a peer lease when it acknowledged the heartbeat sent at [heartbeatSentAt]. */
    public fun peerLeaseReceived(monitor: VmIdentity, heartbeatSentAt: MonotonicTime) {
        peerLeasesReceived.values.removeIf { heartbeatSentAt - it >= ShareTiming.LEASE_DURATION }
        peerLeasesReceived.merge(monitor, heartbeatSentAt, ::maxOf)
        publish()
    }

    /** Returns the members whose renewal is overdue; a connection to each should be attempted once a second. */
    public fun suspects(now: MonotonicTime): List<LedgerMember> = replica.ledger?.members.orEmpty()
        .filter { it.identity != identity && liveness.unchangedFor(it.identity, now) >= SUSPICION_DELAY }

    /** Reports that a connection attempt to the address of [member] was refused at [now]; a timeout is no refusal. */
    public fun connectionRefused(member: VmIdentity, now: MonotonicTime): Unit = liveness.attemptFailed(member, now)

    /** Reports that the process [answeredBy] answered a connection to the address of [member] at [now]. */
    public fun connectionAnswered(member: VmIdentity, answeredBy: VmIdentity, now: MonotonicTime) {
        if (answeredBy == member) liveness.attemptSucceeded(member) else liveness.attemptFailed(member, now)
    }

    /**
     * Applies the settings of a new bundle.
     *
     * A larger number of shares is introduced at the next renewal if it is a multiple of the present number, since each
     * share can then be divided without changing what its owner may use. Otherwise the ledger keeps its number.
     */
    public fun changeSettings(newSettings: ShareSettings, now: MonotonicTime) {
        if (newSettings.longestDeadline < settings.longestDeadline) deadlineLoweredAt = now
        settings = newSettings
        if (identity in settings.retired) refresh(now) else publish()
    }

    /** Sets the demand of this process, such as requests per second. Only the shares of a region depend on demand. */
    public fun changeDemand(newDemand: Double) {
        if (abs(newDemand - demand) > DEMAND_TOLERANCE * maxOf(newDemand, demand)) demand = newDemand
    }

    /** Begins a graceful shutdown: this process acquires no more shares and keeps those that it owns. */
    public fun announceLeaving() {
        leaving = true
    }

    /** Ends a graceful shutdown after the last request: no share is usable, and the process leaves the ledger. */
    public fun finish(now: MonotonicTime) {
        leaving = true
        finishing = true
        refresh(now)
    }

    private fun update(now: MonotonicTime, applied: AppliedShares): LedgerAction {
        val isApplied = applied.fits && applied.usable.shares == usable.shares
        val leaves = isFinishing && (!isMember || isApplied && quarantines.isEmpty())
        if (!isMember && (leaves || !shouldJoin(now))) {
            hasLeft = leaves
            renewAt = now + ShareTiming.RENEWAL_PERIOD
            return LedgerAction.Wait(renewAt)
        }
        val ledger = replica.ledger ?: ShareLedger(settings.shares, emptyList(), emptyList())
        val removed = removableMembers(ledger, now)
        val removable = removed.mapTo(HashSet()) { it.identity }
        val writeId = random.nextLong()
        val context = LedgerUpdateContext(
            scope = scope,
            identity = identity,
            self = if (leaves) null else ownEntry(ledger, removable, writeId, now),
            ledger = ledger,
            live = liveMembers(ledger, now),
            removable = removable,
            released = if (isApplied) handingOver else ShareSet.none(ledger.shares),
            shares = settings.shares,
        )
        val result = updatedLedger(context)
        val write = LedgerAction.Write(replica.version, result, writeId)
        val takenOver = removed.fold(ShareSet.none(ledger.shares)) { sum, member ->
            sum + ledger.sharesOf(member.identity)
        }
        replica.begin(PendingWrite(write, now, removed, takenOver, result.memberOrNull(identity) == null))
        lastRead = null
        return write
    }

    private fun retransmit(): LedgerAction {
        val write = checkNotNull(replica.pending)
        write.transmissions++
        lastRead = null
        return write.action
    }

    private fun updateApplied(write: PendingWrite, now: MonotonicTime) {
        failedAttempts = 0
        renewAt = write.firstSentAt + ShareTiming.RENEWAL_PERIOD
        if (write.removesSelf) {
            leaseStart = null
            hasLeft = isFinishing
            return
        }
        leaseStart = write.firstSentAt
        if (!write.takenOver.isEmpty()) {
            quarantines = quarantines + Quarantine(write.takenOver, write.firstSentAt + quarantineTime(write.removed))
        }
        handingOver = sharesToHandOver(now)
    }

    /** Returns the time for which work that the removed members have sent may still run at targets. */
    private fun quarantineTime(removed: List<LedgerMember>): Duration =
        ShareTiming.withDrift(maxOf(settings.longestDeadline, removed.maxOf { it.deadlineMilliseconds }.milliseconds))

    private fun postpone(now: MonotonicTime, backoff: Duration) {
        val delay = backoff * (1 shl minOf(failedAttempts++, MAXIMUM_BACKOFF_DOUBLINGS))
        retryAt = now + delay * (0.5 + random.nextDouble())
    }

    private fun ownEntry(
        ledger: ShareLedger,
        removable: Set<VmIdentity>,
        writeId: Long,
        now: MonotonicTime,
    ): LedgerMember {
        renewal++
        return LedgerMember(
            identity = identity,
            zone = zone,
            address = address,
            renewal = renewal,
            writeId = writeId,
            monitor = chooseMonitor(ledger, removable, now),
            demand = demand,
            leaving = leaving || isFinishing,
            isolationMilliseconds = if (isOfOtherZone) 0 else settings.isolationLimit.inWholeMilliseconds,
            deadlineMilliseconds = statedDeadline(ledger, now).inWholeMilliseconds,
        )
    }

    /**
     * Returns the longest deadline for the own entry. After the bundle lowered it, the old value stays until all work
     * sent with that deadline has ended.
     */
    private fun statedDeadline(ledger: ShareLedger, now: MonotonicTime): Duration {
        val stated =
            ledger.memberOrNull(identity)?.deadlineMilliseconds?.milliseconds ?: return settings.longestDeadline
        val loweredAt = deadlineLoweredAt
        if (settings.longestDeadline >= stated || loweredAt == null) return settings.longestDeadline
        return if (now - loweredAt > ShareTiming.withDrift(stated)) settings.longestDeadline else stated
    }

    private fun chooseMonitor(ledger: ShareLedger, removable: Set<VmIdentity>, now: MonotonicTime): VmIdentity? {
        if (isOfOtherZone) return null
        val candidates = ledger.members
            .filter { it.zone == zone && it.identity != identity && !it.leaving && it.identity !in removable }
            .filter { liveness.isLive(it.identity, now) }
            .sortedWith(MEMBER_ORDER)
            .map { it.identity }
        val present = ledger.memberOrNull(identity)?.monitor
        val granting = candidates.filter { hasGrantedLease(it, now) }
        if (present in granting) return present
        val eligible = granting.ifEmpty { candidates }
        return eligible.firstOrNull { it.name > identity.name } ?: eligible.firstOrNull()
    }

    private fun hasGrantedLease(member: VmIdentity, now: MonotonicTime): Boolean =
        peerLeasesReceived[member].let { it != null && now - it < ShareTiming.LEASE_DURATION }

    private fun isRemovalDue(now: MonotonicTime): Boolean =
        replica.ledger?.let { removableMembers(it, now) }.orEmpty().isNotEmpty()

    private fun removableMembers(ledger: ShareLedger, now: MonotonicTime): List<LedgerMember> =
        if (!isMember || leaving || isFinishing) emptyList() else ledger.members.filter { isRemovable(it, now) }

    private fun isRemovable(member: LedgerMember, now: MonotonicTime): Boolean = when {
        member.identity == identity -> false
        liveness.unchangedFor(member.identity, now) < ShareTiming.REMOVAL_DELAY -> false
        liveness.hasTerminated(member.identity) || member.identity in settings.retired -> true
        else -> mayRemoveAsMonitor(member, now) || isolationHasEnded(member, now)
    }

    private fun mayRemoveAsMonitor(member: LedgerMember, now: MonotonicTime): Boolean = member.monitor == identity &&
        peerLeasesGranted[member.identity].let { it == null || now - it >= ShareTiming.REMOVAL_DELAY }

    private fun isolationHasEnded(member: LedgerMember, now: MonotonicTime): Boolean {
        val longestUse = ShareTiming.LEASE_DURATION + member.isolationMilliseconds.milliseconds
        return liveness.renewalAge(member.identity, now) >=
            ShareTiming.withDrift(longestUse) + ShareTiming.DISPATCH_MARGIN
    }

    private fun liveMembers(ledger: ShareLedger, now: MonotonicTime): Set<VmIdentity> =
        ledger.members.map { it.identity }.filterTo(HashSet()) { liveness.isLive(it, now) }.apply { add(identity) }

    private fun shouldJoin(now: MonotonicTime): Boolean {
        if (leaving || isFinishing) return false
        return !isOfOtherZone || noLocalMemberSince.let { it != null && now - it >= ShareTiming.REMOVAL_DELAY }
    }

    private fun recordLocalMembers(now: MonotonicTime) {
        val hasLocalMember = replica.ledger?.members.orEmpty().any {
            scope is ShareScope.OfZone && it.zone == scope.zone && !it.leaving && liveness.isLive(it.identity, now)
        }
        noLocalMemberSince = if (hasLocalMember) null else noLocalMemberSince ?: now
    }

    private fun sharesToHandOver(now: MonotonicTime): ShareSet {
        val ledger = replica.ledger ?: return ShareSet.none(0)
        val owned = ledger.sharesOf(identity)
        if (isFinishing) return owned
        // A process without access to the ledger cannot hand over its shares, so it goes on using them.
        if (leaving || !isMember || !liveness.isCurrent(now)) return ShareSet.none(ledger.shares)
        val ideal = idealOwners(scope, ledger.members, ledger.ownerOfEachShare(), liveMembers(ledger, now))
        val kept = ShareSet.of(ledger.shares, ideal.indices.filter { ideal[it] == identity })
        return owned - kept - quarantinedShares()
    }

    private fun quarantinedShares(): ShareSet =
        quarantines.fold(ShareSet.none(0)) { sum, quarantine -> sum + quarantine.shares }

    private fun publish() {
        val shares = replica.certainlyOwnedShares() - quarantinedShares() - handingOver
        val entries = replica.possibleEntries()
        val deadline = entries.minOf { it?.deadlineMilliseconds ?: 0 }.milliseconds
        usable = UsableShares(shares, entries.minOf { validUntil(it) }, minOf(deadline, settings.longestDeadline))
    }

    /** Returns when the use of the shares must end if the ledger holds [entry] of this process. */
    private fun validUntil(entry: LedgerMember?): MonotonicTime {
        val start = leaseStart
        if (entry == null || start == null) return MonotonicTime(Long.MIN_VALUE)
        val leaseEnd = start + ShareTiming.LEASE_DURATION
        val isolationEnd = leaseEnd + minOf(entry.isolationMilliseconds.milliseconds, settings.isolationLimit)
        val monitor = entry.monitor ?: return isolationEnd
        val peerLeaseEnd = peerLeasesReceived[monitor]?.let { it + ShareTiming.LEASE_DURATION } ?: leaseEnd
        return peerLeaseEnd.coerceIn(leaseEnd, isolationEnd)
    }
}
