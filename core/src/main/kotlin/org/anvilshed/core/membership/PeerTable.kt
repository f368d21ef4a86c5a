package org.anvilshed.core.membership

import org.anvilshed.core.Incarnation
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Longest silence of a peer that counts as alive; four heartbeats of 500 ms. */
public val ALIVE_LIMIT: Duration = 2.seconds

/** Longest silence of a peer that may still be used; the duration of a lease. */
public val REACHABLE_LIMIT: Duration = 6.seconds

/** Time after which a peer that did not answer is tried again, so that links form again after a partition. */
private val RETRY_AFTER = 36.seconds

/** Time after which a peer that is neither heard nor told by any source is forgotten. */
private val FORGET_AFTER = 10.minutes

/**
 * What one VM process knows about the other entry VMs. One thread owns it; [peers] is an immutable snapshot.
 *
 * The platform's list lags: it only adds contacts, and a VM that is heard stays whatever the list says. Incarnations
 * of one name are kept apart, since an old process may be heard after its replacement has started.
 */
public class PeerTable(private val self: VmIdentity) {
    private val records = mutableMapOf<VmName, PeerRecord>()

    /** Adds a contact from the settings, which is never forgotten. */
    public fun addSeed(contact: PeerContact, now: MonotonicTime) {
        recordOf(contact, now)?.isSeed = true
    }

    /** Adds a contact that another peer told. A contact that was heard directly keeps its own address. */
    public fun addReported(contact: PeerContact, now: MonotonicTime) {
        recordOf(contact, now)
    }

    /** Replaces the contacts of the platform's list by [contacts]. */
    public fun replaceListed(contacts: Collection<PeerContact>, now: MonotonicTime) {
        records.values.forEach { it.isListed = false }
        contacts.forEach { recordOf(it, now)?.isListed = true }
    }

    /**
     * Notes a message from the process [incarnation] of the peer. Once an incarnation has declared that it is leaving,
     * it stays so: an older heartbeat may arrive later on another connection.
     */
    public fun recordMessage(contact: PeerContact, incarnation: Incarnation, isLeaving: Boolean, now: MonotonicTime) {
        val record = recordOf(contact, now) ?: return
        record.contact = contact
        record.attemptedSince = null
        val known = record.incarnations[incarnation]
        record.incarnations[incarnation] = HeardIncarnation(now, isLeaving || known?.isLeaving == true)
    }

    /** Notes that a message was sent to [name]; the next message from it is the answer. */
    public fun recordAttempt(name: VmName, now: MonotonicTime) {
        val record = records[name] ?: return
        val since = record.attemptedSince
        if (since == null || now - since > RETRY_AFTER) record.attemptedSince = now
    }

    /** Forgets what no source has told for 10 minutes. */
    public fun removeExpired(now: MonotonicTime) {
        records.values.forEach { record ->
            record.incarnations.values.removeIf { now - it.lastMessageAt > FORGET_AFTER }
        }
        records.values.removeIf { record ->
            !record.isSeed && !record.isListed && record.incarnations.isEmpty() && now - record.lastTold > FORGET_AFTER
        }
    }

    /** Returns all incarnations that were heard, and the peers that were only told of, in the order of their names. */
    public fun peers(now: MonotonicTime): List<Peer> = records.values.sortedBy { it.contact.name }.flatMap { record ->
        if (record.incarnations.isEmpty()) {
            listOf(Peer(record.contact, incarnation = null, unheardState(record, now), lastMessageAt = null))
        } else {
            record.incarnations.map { (incarnation, heard) ->
                Peer(record.contact, incarnation, heardState(heard, now), heard.lastMessageAt)
            }
        }
    }

    /** Returns the state of the process [identity], or `null` if it was never heard or is forgotten. */
    public fun stateOrNull(identity: VmIdentity, now: MonotonicTime): PeerState? =
        records[identity.name]?.incarnations?.get(identity.incarnation)?.let { heardState(it, now) }

    /** Returns the peers that [selectNeighbors] chooses from: all that are not leaving and may answer. */
    public fun neighborCandidates(now: MonotonicTime): List<PeerContact> =
        records.values.filter { isCandidate(it, now) }.map { it.contact }

    /** Returns all contacts, also those that are silent or leaving. */
    public fun contacts(): List<PeerContact> = records.values.map { it.contact }

    /** Returns the names of the VMs of [zone] that [selectWatchers] chooses from, without this one. */
    public fun liveNames(zone: ZoneName, now: MonotonicTime): List<VmName> =
        records.values.filter { it.contact.zone == zone && isLive(it, now) }.map { it.contact.name }

    private fun recordOf(contact: PeerContact, now: MonotonicTime): PeerRecord? {
        if (contact.name == self.name) return null
        val record = records.getOrPut(contact.name) { PeerRecord(contact, now) }
        if (record.incarnations.isEmpty()) record.contact = contact
        record.lastTold = now
        return record
    }

    private fun heardState(heard: HeardIncarnation, now: MonotonicTime): PeerState {
        val silence = now - heard.lastMessageAt
        return when {
            silence > REACHABLE_LIMIT -> PeerState.UNREACHABLE
            heard.isLeaving -> PeerState.LEAVING
            silence > ALIVE_LIMIT -> PeerState.SUSPECT
            else -> PeerState.ALIVE
        }
    }

    private fun unheardState(record: PeerRecord, now: MonotonicTime): PeerState {
        val since = record.attemptedSince
        return if (since != null && now - since > REACHABLE_LIMIT) PeerState.UNREACHABLE else PeerState.KNOWN
    }

    private fun latestState(record: PeerRecord, now: MonotonicTime): PeerState =
        record.incarnations.values.maxByOrNull { it.lastMessageAt }?.let { heardState(it, now) }
            ?: unheardState(record, now)

    private fun isLive(record: PeerRecord, now: MonotonicTime): Boolean =
        latestState(record, now) in setOf(PeerState.KNOWN, PeerState.ALIVE, PeerState.SUSPECT)

    private fun isCandidate(record: PeerRecord, now: MonotonicTime): Boolean {
        val state = latestState(record, now)
        if (state != PeerState.UNREACHABLE) return state != PeerState.LEAVING
        val since = record.attemptedSince
        return since == null || now - since <= REACHABLE_LIMIT || now - since > RETRY_AFTER
    }

    private class HeardIncarnation(val lastMessageAt: MonotonicTime, val isLeaving: Boolean)

    private class PeerRecord(var contact: PeerContact, var lastTold: MonotonicTime) {
        var isSeed: Boolean = false
        var isListed: Boolean = false
        var attemptedSince: MonotonicTime? = null
        val incarnations: MutableMap<Incarnation, HeardIncarnation> = mutableMapOf()
    }
}
