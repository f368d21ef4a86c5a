package org.anvilshed.core.membership

import org.anvilshed.core.Incarnation
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Longest time without a message of a peer that is considered alive; four heartbeat intervals of 500 ms. */
public val ALIVE_LIMIT: Duration = 2.seconds

/** Longest time without a message of a peer that may still be used; equal to the duration of a lease. */
public val REACHABLE_LIMIT: Duration = 6.seconds

/** Time after which a peer that did not answer is tried again, so that links are restored after a partition. */
private val RETRY_AFTER = 36.seconds

/** Time after which a peer is removed if it sent no message and no source reported it. */
private val REMOVE_AFTER = 10.minutes

/**
 * Contacts and states of the other entry VMs, as known to one VM process. Not thread-safe; [peers] returns an immutable
 * snapshot.
 *
 * The platform's VM list may be outdated: it only adds contacts, and a VM that sends messages stays in the table even
 * if the list does not name it. Incarnations of one name are kept apart, since messages of an old process may still
 * arrive after its replacement has started.
 */
public class PeerTable(private val self: VmIdentity) {
    private val records = mutableMapOf<VmName, PeerRecord>()

    /** Adds a contact from the settings, which is never removed. */
    public fun addSeed(contact: PeerContact, now: MonotonicTime) {
        recordOf(contact, now)?.isSeed = true
    }

    /** Adds a contact that another peer reported. It does not replace a contact that the VM announced itself. */
    public fun addReported(contact: PeerContact, now: MonotonicTime) {
        recordOf(contact, now)
    }

    /** Replaces the contacts from the platform's VM list with [contacts]. */
    public fun replaceListed(contacts: Collection<PeerContact>, now: MonotonicTime) {
        records.values.forEach { it.isListed = false }
        contacts.forEach { recordOf(it, now)?.isListed = true }
    }

    /**
     * Records a message from the process [incarnation] of the peer. An incarnation that has declared that it is leaving
     * stays in that state, since an older heartbeat may arrive later on another connection.
     */
    public fun recordMessage(contact: PeerContact, incarnation: Incarnation, isLeaving: Boolean, now: MonotonicTime) {
        val record = recordOf(contact, now) ?: return
        record.contact = contact
        record.unansweredSince = null
        val known = record.incarnations[incarnation]
        record.incarnations[incarnation] = ObservedIncarnation(now, isLeaving || known?.isLeaving == true)
    }

    /** Records that a message was sent to [name]; the next message from [name] counts as the answer. */
    public fun recordAttempt(name: VmName, now: MonotonicTime) {
        val record = records[name] ?: return
        val since = record.unansweredSince
        if (since == null || now - since > RETRY_AFTER) record.unansweredSince = now
    }

    /** Removes incarnations and contacts that no message and no source has confirmed for 10 minutes. */
    public fun removeExpired(now: MonotonicTime) {
        records.values.forEach { record ->
            record.incarnations.values.removeIf { now - it.lastMessageAt > REMOVE_AFTER }
        }
        records.values.removeIf { record ->
            !record.isSeed &&
                !record.isListed &&
                record.incarnations.isEmpty() &&
                now - record.lastReportedAt > REMOVE_AFTER
        }
    }

    /** Returns all incarnations that sent messages and the peers known only from other sources, ordered by name. */
    public fun peers(now: MonotonicTime): List<Peer> = records.values.sortedBy { it.contact.name }.flatMap { record ->
        if (record.incarnations.isEmpty()) {
            listOf(Peer(record.contact, incarnation = null, unobservedState(record, now), lastMessageAt = null))
        } else {
            record.incarnations.map { (incarnation, observed) ->
                Peer(record.contact, incarnation, observedState(observed, now), observed.lastMessageAt)
            }
        }
    }

    /** Returns the state of the process [identity], or `null` if it never sent a message or was removed. */
    public fun stateOrNull(identity: VmIdentity, now: MonotonicTime): PeerState? =
        records[identity.name]?.incarnations?.get(identity.incarnation)?.let { observedState(it, now) }

    /** Returns the peers that [selectNeighbors] selects from: all that are not leaving and may answer. */
    public fun neighborCandidates(now: MonotonicTime): List<PeerContact> =
        records.values.filter { isCandidate(it, now) }.map { it.contact }

    /** Returns all contacts, including silent and leaving ones. */
    public fun contacts(): List<PeerContact> = records.values.map { it.contact }

    /** Returns the names of the VMs of [zone] that [selectWatchers] selects from, without this VM. */
    public fun liveNames(zone: ZoneName, now: MonotonicTime): List<VmName> =
        records.values.filter { it.contact.zone == zone && isLive(it, now) }.map { it.contact.name }

    private fun recordOf(contact: PeerContact, now: MonotonicTime): PeerRecord? {
        if (contact.name == self.name) return null
        val record = records.getOrPut(contact.name) { PeerRecord(contact, now) }
        if (record.incarnations.isEmpty()) record.contact = contact
        record.lastReportedAt = now
        return record
    }

    private fun observedState(observed: ObservedIncarnation, now: MonotonicTime): PeerState {
        val silence = now - observed.lastMessageAt
        return when {
            silence > REACHABLE_LIMIT -> PeerState.UNREACHABLE
            observed.isLeaving -> PeerState.LEAVING
            silence > ALIVE_LIMIT -> PeerState.SUSPECT
            else -> PeerState.ALIVE
        }
    }

    private fun unobservedState(record: PeerRecord, now: MonotonicTime): PeerState {
        val since = record.unansweredSince
        return if (since != null && now - since > REACHABLE_LIMIT) PeerState.UNREACHABLE else PeerState.KNOWN
    }

    private fun latestState(record: PeerRecord, now: MonotonicTime): PeerState =
        record.incarnations.values.maxByOrNull { it.lastMessageAt }?.let { observedState(it, now) }
            ?: unobservedState(record, now)

    private fun isLive(record: PeerRecord, now: MonotonicTime): Boolean =
        latestState(record, now) in setOf(PeerState.KNOWN, PeerState.ALIVE, PeerState.SUSPECT)

    private fun isCandidate(record: PeerRecord, now: MonotonicTime): Boolean {
        val state = latestState(record, now)
        if (state != PeerState.UNREACHABLE) return state != PeerState.LEAVING
        val since = record.unansweredSince
        return since == null || now - since <= REACHABLE_LIMIT || now - since > RETRY_AFTER
    }

    private class ObservedIncarnation(val lastMessageAt: MonotonicTime, val isLeaving: Boolean)

    private class PeerRecord(var contact: PeerContact, var lastReportedAt: MonotonicTime) {
        var isSeed: Boolean = false
        var isListed: Boolean = false
        var unansweredSince: MonotonicTime? = null
        val incarnations: MutableMap<Incarnation, ObservedIncarnation> = mutableMapOf()
    }
}
