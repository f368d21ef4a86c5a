package org.anvilshed.core.seats

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.ZoneName
import kotlin.math.abs
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val READ_VALIDITY = 500.milliseconds
private val CONFLICT_BACKOFF = 20.milliseconds
private val FAILURE_BACKOFF = 100.milliseconds
private const val MAXIMUM_BACKOFF_DOUBLINGS = 4

/** Time without a renewal after which connection attempts to a member are worthwhile. */
private val SUSPICION_DELAY = ShareTiming.RENEWAL_PERIOD * 1.5

/** Relative change of the demand below which the ledger keeps the old value, so that shares do not move all the time. */
private const val DEMAND_TOLERANCE = 0.25

/**
 * State of one process as a member of the ledger of one scope: what to read and write next, and which shares it may use.
 *
 * The holder does no I/O. Its caller reads and writes the platform, exchanges heartbeats and attempts connections, and
 * reports what it observed. All methods must be called by one coroutine at a time; only [usable] may be read by any
 * thread. Every observation may be reported late or twice.
 *
 * ```
 * while (!holder.hasLeft) {
 *     val usable = holder.refresh(clock.now())
 *     val usage = slotPool.update(targets, usable, clock.now()) // AppliedShares(usable, fits = true) for a region
 *     when (val action = holder.next(clock.now(), usage)) {
 *         is LedgerAction.Read -> holder.readFinished(read(holder.scope.key), clock.now())
 *         is LedgerAction.Write -> holder.writeFinished(action.writeId, write(action), clock.now())
 *         is LedgerAction.Wait -> delayUntil(action.until) // or until an observation arrives; at most 250 ms
 *     }
 * }
 * ```
 *
 * The process must accept connections at [address] before the first call of [next], since refused connections prove to
 * the other members that it has ended. The object must not be deleted while a member runs.
 *
 * @property identity this process.
 * @property zone own zone of this process, which may differ from the zone of [scope].
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
    private class Quarantine(val shares: ShareSet, val until: MonotonicTime)

    private val replica = LedgerReplica(identity)
    private val liveness = MemberLiveness()
    private val peerLeasesGranted = HashMap<VmIdentity, MonotonicTime>()
    private val peerLeasesReceived = HashMap<VmIdentity, MonotonicTime>()
    private var quarantines = listOf<Quarantine>()
    private var handingOver = ShareSet.none(0)
    private var leaseFrom: MonotonicTime? = null
    private var renewal = 0L
    private var demand = 0.0
    private var deadlineLoweredAt: MonotonicTime? = null
    private var withoutLocalMemberSince: MonotonicTime? = null
    private var leaving = false
    private var finishing = false
    private var lastRead: MonotonicTime? = null
    private var retryAt = MonotonicTime(Long.MIN_VALUE)
    private var renewAt = MonotonicTime(Long.MIN_VALUE)
    private var backoffs = 0

    /** Shares that may be used now; the snapshot is replaced by the other methods. */
    @Volatile
    public var usable: UsableShares = UsableShares.NONE
        private set

    /** Whether this process has left the ledger for good after [finish]. */
    public var hasLeft: Boolean = false
        private set

    /** Newest known state of the ledger, or `null` before the first read. */
    public val ledgerOrNull: ShareLedger? get() = replica.ledger

    /** Whether this process is known to be a member. */
    public val isMember: Boolean get() = replica.ledger?.memberOrNull(identity) != null

    private val isFinishing: Boolean get() = finishing || identity in settings.retired

    private val isForeign: Boolean get() = scope is ShareScope.OfZone && scope.zone != zone

    /**
     * Recomputes and returns [usable] for [now]: shares whose hold has ended become usable, and shares to be given away are
     * taken out of use. The caller applies the result before it calls [next].
     */
    public fun refresh(now: MonotonicTime): UsableShares {
        val remaining = quarantines.filter { now < it.until }
        // Shares that other members should own are given away at once, not at the next regular renewal.
        if (remaining.size < quarantines.size) renewAt = now
        quarantines = remaining
        handingOver = sharesToHandOver(now)
        publish()
        return usable
    }

    /**
     * Returns what to do at [now].
     *
     * @param usage what the request path applies; shares are given away only if it agrees with [usable] and all work fits.
     */
    public fun next(now: MonotonicTime, usage: AppliedShares): LedgerAction {
        val readAt = lastRead
        val action = when {
            hasLeft -> LedgerAction.Wait(now + ShareTiming.RENEWAL_PERIOD)
            now < retryAt -> LedgerAction.Wait(retryAt)
            now < renewAt && !isRemovalDue(now) -> LedgerAction.Wait(renewAt)
            readAt == null || now - readAt > READ_VALIDITY -> LedgerAction.Read
            replica.pending != null -> resend()
            else -> attempt(now, usage)
        }
        publish()
        return action
    }

    /** Reports that a read of the ledger ended at [now]. A state older than the known one is ignored. */
    public fun readFinished(result: LedgerReadResult, now: MonotonicTime) {
        when (result) {
            is LedgerReadResult.Found -> {
                val applied = replica.readFinished(result)
                if (result.version >= replica.version) replica.ledger?.let { liveness.observe(it, now) }
                if (applied != null) applied(applied, now)
                if (!isMember) leaseFrom = null
            }
            LedgerReadResult.Absent -> Unit
            LedgerReadResult.Failed -> {
                postpone(now, FAILURE_BACKOFF)
                return
            }
        }
        lastRead = now
        watchLocalMembers(now)
        publish()
    }

    /** Reports that the write [writeId] ended at [now] with [result]. */
    public fun writeFinished(writeId: Long, result: LedgerWriteResult, now: MonotonicTime) {
        val isPending = replica.pending?.action?.writeId == writeId
        val applied = replica.writeFinished(writeId, result)
        when {
            applied != null -> {
                replica.ledger?.let { liveness.observe(it, now) }
                applied(applied, now)
            }
            isPending -> postpone(now, if (result == LedgerWriteResult.Conflict) CONFLICT_BACKOFF else FAILURE_BACKOFF)
        }
        publish()
    }

    /**
     * Returns whether the acknowledgement of a heartbeat that arrived from [member] may promise not to remove it, and
     * if so, keeps to it for the lease duration. To be called immediately before the acknowledgement is sent.
     */
    public fun grantPeerLease(member: VmIdentity, now: MonotonicTime): Boolean {
        if (replica.pending?.removed.orEmpty().any { it.identity == member }) return false
        if (replica.ledger?.memberOrNull(member) == null) return false
        peerLeasesGranted.values.removeIf { now - it >= ShareTiming.REMOVAL_DELAY }
        peerLeasesGranted[member] = now
        return true
    }

    /** Reports a promise of [monitor] in the acknowledgement of a heartbeat sent to it at [heartbeatSentAt]. */
    public fun peerLeaseReceived(monitor: VmIdentity, heartbeatSentAt: MonotonicTime) {
        peerLeasesReceived.values.removeIf { heartbeatSentAt - it >= ShareTiming.LEASE_DURATION }
        peerLeasesReceived.merge(monitor, heartbeatSentAt, ::maxOf)
        publish()
    }

    /** Returns the members to whose address a connection should be attempted once a second. */
    public fun suspects(now: MonotonicTime): List<LedgerMember> = replica.ledger?.members.orEmpty()
        .filter { it.identity != identity && liveness.unchangedFor(it.identity, now) >= SUSPICION_DELAY }

    /** Reports that a connection attempt to the address of [member] was refused at [now]; a timeout is no refusal. */
    public fun connectionRefused(member: VmIdentity, now: MonotonicTime): Unit = liveness.attemptFailed(member, now)

    /** Reports that [answeredBy] answered a connection to the address of [member] at [now]. */
    public fun connectionAnswered(member: VmIdentity, answeredBy: VmIdentity, now: MonotonicTime) {
        if (answeredBy == member) liveness.attemptSucceeded(member) else liveness.attemptFailed(member, now)
    }

    /**
     * Takes over what a new bundle says.
     *
     * More shares are introduced at the next renewal if their number is a multiple of the present one, as each share can
     * then be divided with no change of rights; otherwise the ledger keeps its number.
     */
    public fun changeSettings(newSettings: ShareSettings, now: MonotonicTime) {
        if (newSettings.longestDeadline < settings.longestDeadline) deadlineLoweredAt = now
        settings = newSettings
        if (identity in settings.retired) refresh(now) else publish()
    }

    /** Takes over the demand of this process, for example requests per second; only regions are divided by demand. */
    public fun changeDemand(newDemand: Double) {
        if (abs(newDemand - demand) > DEMAND_TOLERANCE * maxOf(newDemand, demand)) demand = newDemand
    }

    /** Begins a graceful shutdown: this process gets no more shares and keeps its own. */
    public fun announceLeaving() {
        leaving = true
    }

    /** Ends a graceful shutdown after the last request: no share is usable, and the process leaves the ledger. */
    public fun finish(now: MonotonicTime) {
        leaving = true
        finishing = true
        refresh(now)
    }

    private fun attempt(now: MonotonicTime, usage: AppliedShares): LedgerAction {
        val applied = usage.fits && usage.usable.shares == usable.shares
        val leaves = isFinishing && (!isMember || applied && quarantines.isEmpty())
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
            released = if (applied) handingOver else ShareSet.none(ledger.shares),
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

    private fun resend(): LedgerAction {
        val write = checkNotNull(replica.pending)
        write.sends++
        lastRead = null
        return write.action
    }

    private fun applied(write: PendingWrite, now: MonotonicTime) {
        backoffs = 0
        renewAt = write.firstSentAt + ShareTiming.RENEWAL_PERIOD
        if (write.leaves) {
            leaseFrom = null
            hasLeft = isFinishing
            return
        }
        leaseFrom = write.firstSentAt
        if (!write.takenOver.isEmpty()) {
            quarantines = quarantines + Quarantine(write.takenOver, write.firstSentAt + quarantineTime(write.removed))
        }
        handingOver = sharesToHandOver(now)
    }

    private fun quarantineTime(removed: List<LedgerMember>): Duration =
        ShareTiming.withDrift(maxOf(settings.longestDeadline, removed.maxOf { it.deadlineMilliseconds }.milliseconds))

    private fun postpone(now: MonotonicTime, backoff: Duration) {
        val delay = backoff * (1 shl minOf(backoffs++, MAXIMUM_BACKOFF_DOUBLINGS))
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
            isolationMilliseconds = if (isForeign) 0 else settings.isolationLimit.inWholeMilliseconds,
            deadlineMilliseconds = statedDeadline(ledger, now).inWholeMilliseconds,
        )
    }

    /** Work sent before the deadline was lowered may still run, so the old value stays until it has ended. */
    private fun statedDeadline(ledger: ShareLedger, now: MonotonicTime): Duration {
        val stated =
            ledger.memberOrNull(identity)?.deadlineMilliseconds?.milliseconds ?: return settings.longestDeadline
        val loweredAt = deadlineLoweredAt
        if (settings.longestDeadline >= stated || loweredAt == null) return settings.longestDeadline
        return if (now - loweredAt > ShareTiming.withDrift(stated)) settings.longestDeadline else stated
    }

    private fun chooseMonitor(ledger: ShareLedger, removable: Set<VmIdentity>, now: MonotonicTime): VmIdentity? {
        if (isForeign) return null
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
        return liveness.age(member.identity, now) >= ShareTiming.withDrift(longestUse) + ShareTiming.DISPATCH_MARGIN
    }

    private fun liveMembers(ledger: ShareLedger, now: MonotonicTime): Set<VmIdentity> =
        ledger.members.map { it.identity }.filterTo(HashSet()) { liveness.isLive(it, now) }.apply { add(identity) }

    private fun shouldJoin(now: MonotonicTime): Boolean {
        if (leaving || isFinishing) return false
        return !isForeign || withoutLocalMemberSince.let { it != null && now - it >= ShareTiming.REMOVAL_DELAY }
    }

    private fun watchLocalMembers(now: MonotonicTime) {
        val hasLocalMember = replica.ledger?.members.orEmpty().any {
            scope is ShareScope.OfZone && it.zone == scope.zone && !it.leaving && liveness.isLive(it.identity, now)
        }
        withoutLocalMemberSince = if (hasLocalMember) null else withoutLocalMemberSince ?: now
    }

    private fun sharesToHandOver(now: MonotonicTime): ShareSet {
        val ledger = replica.ledger ?: return ShareSet.none(0)
        val owned = ledger.sharesOf(identity)
        if (isFinishing) return owned
        // A process that is cut off cannot give its shares to anybody, so it goes on using them.
        if (leaving || !isMember || !liveness.isCurrent(now)) return ShareSet.none(ledger.shares)
        val ideal = idealOwners(scope, ledger.members, ledger.ownerOfEachShare(), liveMembers(ledger, now))
        val kept = ShareSet.of(ledger.shares, ideal.indices.filter { ideal[it] == identity })
        return owned - kept - quarantinedShares()
    }

    private fun quarantinedShares(): ShareSet = quarantines.fold(ShareSet.none(0)) { sum, hold -> sum + hold.shares }

    private fun publish() {
        val shares = replica.certainShares() - quarantinedShares() - handingOver
        val entries = replica.possibleEntries()
        val deadline = entries.minOf { it?.deadlineMilliseconds ?: 0 }.milliseconds
        usable = UsableShares(shares, entries.minOf { validUntil(it) }, minOf(deadline, settings.longestDeadline))
    }

    private fun validUntil(entry: LedgerMember?): MonotonicTime {
        val from = leaseFrom
        if (entry == null || from == null) return MonotonicTime(Long.MIN_VALUE)
        val leaseEnd = from + ShareTiming.LEASE_DURATION
        val isolationEnd = leaseEnd + minOf(entry.isolationMilliseconds.milliseconds, settings.isolationLimit)
        val monitor = entry.monitor ?: return isolationEnd
        val peerLeaseEnd = peerLeasesReceived[monitor]?.let { it + ShareTiming.LEASE_DURATION } ?: leaseEnd
        return peerLeaseEnd.coerceIn(leaseEnd, isolationEnd)
    }
}
