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
private val SUSPICION_DELAY = SeatTiming.RENEWAL_PERIOD * 1.5

/** Relative change of the demand below which the ledger keeps the old value, so that seats do not move all the time. */
private const val DEMAND_TOLERANCE = 0.25

/**
 * State of one process as a member of the ledger of one scope: what to read and write next, and which seats it may use.
 *
 * The holder does no I/O. Its caller reads and writes the platform, exchanges heartbeats and attempts connections, and
 * reports what it observed. All methods must be called by one coroutine at a time; only [use] may be read by any
 * thread. Every observation may be reported late or twice.
 *
 * ```
 * while (!holder.hasLeft) {
 *     val use = holder.refresh(clock.now())
 *     val usage = slotPool.update(targets, use, clock.now()) // SeatUsage(use, fits = true) for a region
 *     when (val action = holder.next(clock.now(), usage)) {
 *         is SeatAction.Read -> holder.readFinished(read(holder.scope.key), clock.now())
 *         is SeatAction.Write -> holder.writeFinished(action.writeId, write(action), clock.now())
 *         is SeatAction.Wait -> delayUntil(action.until) // or until an observation arrives; at most 250 ms
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
public class SeatHolder(
    public val scope: SeatScope,
    public val identity: VmIdentity,
    public val zone: ZoneName,
    public val address: String,
    private var intent: SeatIntent,
    private val random: Random,
) {
    private class Hold(val seats: SeatSet, val until: MonotonicTime)

    private val replica = LedgerReplica(identity)
    private val watch = MemberWatch()
    private val promisesGiven = HashMap<VmIdentity, MonotonicTime>()
    private val promisesReceived = HashMap<VmIdentity, MonotonicTime>()
    private var holds = listOf<Hold>()
    private var yielding = SeatSet.none(0)
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

    /** Seats that may be used now; the snapshot is replaced by the other methods. */
    @Volatile
    public var use: SeatUse = SeatUse.NONE
        private set

    /** Whether this process has left the ledger for good after [finish]. */
    public var hasLeft: Boolean = false
        private set

    /** Newest known state of the ledger, or `null` before the first read. */
    public val ledgerOrNull: SeatLedger? get() = replica.ledger

    /** Whether this process is known to be a member. */
    public val isMember: Boolean get() = replica.ledger?.memberOrNull(identity) != null

    private val isFinishing: Boolean get() = finishing || identity in intent.retired

    private val isForeign: Boolean get() = scope is SeatScope.OfZone && scope.zone != zone

    /**
     * Recomputes and returns [use] for [now]: seats whose hold has ended become usable, and seats to be given away are
     * taken out of use. The caller applies the result before it calls [next].
     */
    public fun refresh(now: MonotonicTime): SeatUse {
        val remaining = holds.filter { now < it.until }
        // Seats that other members should own are given away at once, not at the next regular renewal.
        if (remaining.size < holds.size) renewAt = now
        holds = remaining
        yielding = seatsToYield(now)
        publish()
        return use
    }

    /**
     * Returns what to do at [now].
     *
     * @param usage what the request path applies; seats are given away only if it agrees with [use] and all work fits.
     */
    public fun next(now: MonotonicTime, usage: SeatUsage): SeatAction {
        val readAt = lastRead
        val action = when {
            hasLeft -> SeatAction.Wait(now + SeatTiming.RENEWAL_PERIOD)
            now < retryAt -> SeatAction.Wait(retryAt)
            now < renewAt && !isRemovalDue(now) -> SeatAction.Wait(renewAt)
            readAt == null || now - readAt > READ_VALIDITY -> SeatAction.Read
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
                if (result.version >= replica.version) replica.ledger?.let { watch.observe(it, now) }
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
                replica.ledger?.let { watch.observe(it, now) }
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
    public fun promiseTo(member: VmIdentity, now: MonotonicTime): Boolean {
        if (replica.pending?.removed.orEmpty().any { it.identity == member }) return false
        if (replica.ledger?.memberOrNull(member) == null) return false
        promisesGiven.values.removeIf { now - it >= SeatTiming.REMOVAL_DELAY }
        promisesGiven[member] = now
        return true
    }

    /** Reports a promise of [guardian] in the acknowledgement of a heartbeat sent to it at [heartbeatSentAt]. */
    public fun promiseReceived(guardian: VmIdentity, heartbeatSentAt: MonotonicTime) {
        promisesReceived.values.removeIf { heartbeatSentAt - it >= SeatTiming.LEASE_DURATION }
        promisesReceived.merge(guardian, heartbeatSentAt, ::maxOf)
        publish()
    }

    /** Returns the members to whose address a connection should be attempted once a second. */
    public fun suspects(now: MonotonicTime): List<SeatMember> = replica.ledger?.members.orEmpty()
        .filter { it.identity != identity && watch.unchangedFor(it.identity, now) >= SUSPICION_DELAY }

    /** Reports that a connection attempt to the address of [member] was refused at [now]; a timeout is no refusal. */
    public fun connectionRefused(member: VmIdentity, now: MonotonicTime): Unit = watch.attemptFailed(member, now)

    /** Reports that [answeredBy] answered a connection to the address of [member] at [now]. */
    public fun connectionAnswered(member: VmIdentity, answeredBy: VmIdentity, now: MonotonicTime) {
        if (answeredBy == member) watch.attemptSucceeded(member) else watch.attemptFailed(member, now)
    }

    /**
     * Takes over what a new bundle says.
     *
     * More seats are introduced at the next renewal if their number is a multiple of the present one, as each seat can
     * then be divided with no change of rights; otherwise the ledger keeps its number.
     */
    public fun changeIntent(newIntent: SeatIntent, now: MonotonicTime) {
        if (newIntent.longestDeadline < intent.longestDeadline) deadlineLoweredAt = now
        intent = newIntent
        if (identity in intent.retired) refresh(now) else publish()
    }

    /** Takes over the demand of this process, for example requests per second; only regions are divided by demand. */
    public fun changeDemand(newDemand: Double) {
        if (abs(newDemand - demand) > DEMAND_TOLERANCE * maxOf(newDemand, demand)) demand = newDemand
    }

    /** Begins a graceful shutdown: this process gets no more seats and keeps its own. */
    public fun announceLeaving() {
        leaving = true
    }

    /** Ends a graceful shutdown after the last request: no seat is usable, and the process leaves the ledger. */
    public fun finish(now: MonotonicTime) {
        leaving = true
        finishing = true
        refresh(now)
    }

    private fun attempt(now: MonotonicTime, usage: SeatUsage): SeatAction {
        val applied = usage.fits && usage.use.seats == use.seats
        val leaves = isFinishing && (!isMember || applied && holds.isEmpty())
        if (!isMember && (leaves || !shouldJoin(now))) {
            hasLeft = leaves
            renewAt = now + SeatTiming.RENEWAL_PERIOD
            return SeatAction.Wait(renewAt)
        }
        val ledger = replica.ledger ?: SeatLedger(intent.seats, emptyList(), emptyList())
        val removed = removableMembers(ledger, now)
        val removable = removed.mapTo(HashSet()) { it.identity }
        val writeId = random.nextLong()
        val view = SeatView(
            scope = scope,
            identity = identity,
            self = if (leaves) null else ownEntry(ledger, removable, writeId, now),
            ledger = ledger,
            live = liveMembers(ledger, now),
            removable = removable,
            released = if (applied) yielding else SeatSet.none(ledger.seats),
            seats = intent.seats,
        )
        val result = decideSeats(view)
        val write = SeatAction.Write(replica.version, result, writeId)
        val takenOver = removed.fold(SeatSet.none(ledger.seats)) { sum, member ->
            sum + ledger.seatsOf(member.identity)
        }
        replica.begin(PendingWrite(write, now, removed, takenOver, result.memberOrNull(identity) == null))
        lastRead = null
        return write
    }

    private fun resend(): SeatAction {
        val write = checkNotNull(replica.pending)
        write.sends++
        lastRead = null
        return write.action
    }

    private fun applied(write: PendingWrite, now: MonotonicTime) {
        backoffs = 0
        renewAt = write.firstSentAt + SeatTiming.RENEWAL_PERIOD
        if (write.leaves) {
            leaseFrom = null
            hasLeft = isFinishing
            return
        }
        leaseFrom = write.firstSentAt
        if (!write.takenOver.isEmpty()) {
            holds = holds + Hold(write.takenOver, write.firstSentAt + holdTime(write.removed))
        }
        yielding = seatsToYield(now)
    }

    private fun holdTime(removed: List<SeatMember>): Duration =
        SeatTiming.withDrift(maxOf(intent.longestDeadline, removed.maxOf { it.deadlineMilliseconds }.milliseconds))

    private fun postpone(now: MonotonicTime, backoff: Duration) {
        val delay = backoff * (1 shl minOf(backoffs++, MAXIMUM_BACKOFF_DOUBLINGS))
        retryAt = now + delay * (0.5 + random.nextDouble())
    }

    private fun ownEntry(
        ledger: SeatLedger,
        removable: Set<VmIdentity>,
        writeId: Long,
        now: MonotonicTime,
    ): SeatMember {
        renewal++
        return SeatMember(
            identity = identity,
            zone = zone,
            address = address,
            renewal = renewal,
            writeId = writeId,
            guardian = chooseGuardian(ledger, removable, now),
            demand = demand,
            leaving = leaving || isFinishing,
            isolationMilliseconds = if (isForeign) 0 else intent.isolationLimit.inWholeMilliseconds,
            deadlineMilliseconds = statedDeadline(ledger, now).inWholeMilliseconds,
        )
    }

    /** Work sent before the deadline was lowered may still run, so the old value stays until it has ended. */
    private fun statedDeadline(ledger: SeatLedger, now: MonotonicTime): Duration {
        val stated = ledger.memberOrNull(identity)?.deadlineMilliseconds?.milliseconds ?: return intent.longestDeadline
        val loweredAt = deadlineLoweredAt
        if (intent.longestDeadline >= stated || loweredAt == null) return intent.longestDeadline
        return if (now - loweredAt > SeatTiming.withDrift(stated)) intent.longestDeadline else stated
    }

    private fun chooseGuardian(ledger: SeatLedger, removable: Set<VmIdentity>, now: MonotonicTime): VmIdentity? {
        if (isForeign) return null
        val candidates = ledger.members
            .filter { it.zone == zone && it.identity != identity && !it.leaving && it.identity !in removable }
            .filter { watch.isLive(it.identity, now) }
            .sortedWith(MEMBER_ORDER)
            .map { it.identity }
        val present = ledger.memberOrNull(identity)?.guardian
        val promising = candidates.filter { hasPromised(it, now) }
        if (present in promising) return present
        val eligible = promising.ifEmpty { candidates }
        return eligible.firstOrNull { it.name > identity.name } ?: eligible.firstOrNull()
    }

    private fun hasPromised(member: VmIdentity, now: MonotonicTime): Boolean =
        promisesReceived[member].let { it != null && now - it < SeatTiming.LEASE_DURATION }

    private fun isRemovalDue(now: MonotonicTime): Boolean =
        replica.ledger?.let { removableMembers(it, now) }.orEmpty().isNotEmpty()

    private fun removableMembers(ledger: SeatLedger, now: MonotonicTime): List<SeatMember> =
        if (!isMember || leaving || isFinishing) emptyList() else ledger.members.filter { isRemovable(it, now) }

    private fun isRemovable(member: SeatMember, now: MonotonicTime): Boolean = when {
        member.identity == identity -> false
        watch.unchangedFor(member.identity, now) < SeatTiming.REMOVAL_DELAY -> false
        watch.hasTerminated(member.identity) || member.identity in intent.retired -> true
        else -> mayRemoveAsGuardian(member, now) || isolationHasEnded(member, now)
    }

    private fun mayRemoveAsGuardian(member: SeatMember, now: MonotonicTime): Boolean = member.guardian == identity &&
        promisesGiven[member.identity].let { it == null || now - it >= SeatTiming.REMOVAL_DELAY }

    private fun isolationHasEnded(member: SeatMember, now: MonotonicTime): Boolean {
        val longestUse = SeatTiming.LEASE_DURATION + member.isolationMilliseconds.milliseconds
        return watch.age(member.identity, now) >= SeatTiming.withDrift(longestUse) + SeatTiming.MARGIN
    }

    private fun liveMembers(ledger: SeatLedger, now: MonotonicTime): Set<VmIdentity> =
        ledger.members.map { it.identity }.filterTo(HashSet()) { watch.isLive(it, now) }.apply { add(identity) }

    private fun shouldJoin(now: MonotonicTime): Boolean {
        if (leaving || isFinishing) return false
        return !isForeign || withoutLocalMemberSince.let { it != null && now - it >= SeatTiming.REMOVAL_DELAY }
    }

    private fun watchLocalMembers(now: MonotonicTime) {
        val hasLocalMember = replica.ledger?.members.orEmpty().any {
            scope is SeatScope.OfZone && it.zone == scope.zone && !it.leaving && watch.isLive(it.identity, now)
        }
        withoutLocalMemberSince = if (hasLocalMember) null else withoutLocalMemberSince ?: now
    }

    private fun seatsToYield(now: MonotonicTime): SeatSet {
        val ledger = replica.ledger ?: return SeatSet.none(0)
        val owned = ledger.seatsOf(identity)
        if (isFinishing) return owned
        // A process that is cut off cannot give its seats to anybody, so it goes on using them.
        if (leaving || !isMember || !watch.isCurrent(now)) return SeatSet.none(ledger.seats)
        val ideal = idealOwners(scope, ledger.members, ledger.ownerOfEachSeat(), liveMembers(ledger, now))
        val kept = SeatSet.of(ledger.seats, ideal.indices.filter { ideal[it] == identity })
        return owned - kept - heldSeats()
    }

    private fun heldSeats(): SeatSet = holds.fold(SeatSet.none(0)) { sum, hold -> sum + hold.seats }

    private fun publish() {
        val seats = replica.certainSeats() - heldSeats() - yielding
        val entries = replica.possibleEntries()
        val deadline = entries.minOf { it?.deadlineMilliseconds ?: 0 }.milliseconds
        use = SeatUse(seats, entries.minOf { validUntil(it) }, minOf(deadline, intent.longestDeadline))
    }

    private fun validUntil(entry: SeatMember?): MonotonicTime {
        val from = leaseFrom
        if (entry == null || from == null) return MonotonicTime(Long.MIN_VALUE)
        val leaseEnd = from + SeatTiming.LEASE_DURATION
        val isolationEnd = leaseEnd + minOf(entry.isolationMilliseconds.milliseconds, intent.isolationLimit)
        val guardian = entry.guardian ?: return isolationEnd
        val promisedUntil = promisesReceived[guardian]?.let { it + SeatTiming.LEASE_DURATION } ?: leaseEnd
        return promisedUntil.coerceIn(leaseEnd, isolationEnd)
    }
}
