package org.anvilshed.core.fleet

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.membership.rendezvousScore
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What a VM observed about a request: a target that ended while it had the request, or a response.
 *
 * @property fingerprint equal for all attempts of one request.
 * @property target identifies the target process that ended, or `null` if a target responded to the request.
 * @property sentAt when the request was sent to the target.
 * @property at when the target ended or responded.
 */
public data class CrashObservation(
    public val fingerprint: Long,
    public val target: Int?,
    public val sentAt: MonotonicTime,
    public val at: MonotonicTime,
)

/**
 * Finds requests that crash the targets that run them, from what all VMs observe, and suspends these requests.
 *
 * A request is suspected if the connection ended while a target had it and the target then refused connections, so a
 * broken connection to a target that goes on is no evidence. Requests that were at the same targets by chance are
 * cleared by responses elsewhere, or by a request that was there at more crashes. After [CRASH_LIMIT] crashes the
 * request is suspended for [SHORTEST_SUSPENSION], or up to twice as long; the VMs end the suspension one after the
 * other, and a single further crash renews it. Not thread-safe.
 *
 * @param self name of this VM.
 */
public class CrashSuspicions(private val self: String) {
    private class History {
        /** Crashes by target process. */
        val crashes = HashMap<Int, CrashObservation>()
        var clearedAt: MonotonicTime? = null

        val latestCrash: MonotonicTime?
            get() = crashes.values.maxOfOrNull { it.at }

        val crashCount: Int
            get() = countCrashes(crashes.values)

        /**
         * Returns the number of [crashes] since the request was cleared, each by an attempt that was sent after the
         * crash before it. Targets that end at one moment while they have the request have another cause in common.
         */
        fun countCrashes(crashes: Collection<CrashObservation>): Int {
            var count = 0
            var previous = clearedAt
            for (crash in crashes.sortedBy { it.at }) {
                if (previous != null && crash.sentAt < previous) continue
                previous = crash.at
                count++
            }
            return count
        }
    }

    private class PossibleCrash(val target: TargetKey, val observation: CrashObservation)

    private val possibleCrashes = ArrayDeque<PossibleCrash>()
    private val histories = LinkedHashMap<Long, History>()

    /** Whether no request is suspected, so that fingerprints are not needed. */
    public val isEmpty: Boolean
        get() = histories.isEmpty()

    /** Records that the connection to [target] ended at [now], when the target had the request since [sentAt]. */
    public fun recordConnectionEnded(fingerprint: Long, target: TargetKey, sentAt: MonotonicTime, now: MonotonicTime) {
        if (possibleCrashes.size >= POSSIBLE_CRASH_LIMIT) possibleCrashes.removeFirst()
        possibleCrashes.addLast(PossibleCrash(target, CrashObservation(fingerprint, target.hashCode(), sentAt, now)))
    }

    /**
     * Records that [target] refused a connection at [now]; returns the crashes of which this is the evidence.
     */
    public fun recordRefusedConnection(target: TargetKey, now: MonotonicTime): List<CrashObservation> {
        possibleCrashes.removeIf { now - it.observation.at > EVIDENCE_TIME }
        val crashes = possibleCrashes.filter { it.target == target }.map { it.observation }
        possibleCrashes.removeIf { it.target == target }
        crashes.forEach { record(it, now) }
        return crashes
    }

    /** Records that [target] accepted a connection, so that it did not end together with its earlier connections. */
    public fun recordAcceptedConnection(target: TargetKey) {
        possibleCrashes.removeIf { it.target == target }
    }

    /** Records that a target responded at [now] to a request. */
    public fun recordResponse(fingerprint: Long, now: MonotonicTime): Unit =
        record(CrashObservation(fingerprint, null, now, now), now)

    /** Records at [now] what a VM [observed]; several VMs may pass on the same. */
    public fun record(observed: CrashObservation, now: MonotonicTime) {
        if (now - observed.at >= SUSPENDED_MEMORY) return
        val target = observed.target
        if (target == null) {
            val history = histories[observed.fingerprint] ?: return
            history.clearedAt = maxOf(history.clearedAt ?: observed.at, observed.at)
            return
        }
        val history = histories.getOrPut(observed.fingerprint) { History() }
        // The first report is kept: the time of an observation is later by the time on the network each time it is
        // passed on.
        history.crashes.putIfAbsent(target, observed)
        if (history.crashes.size > CRASHES_KEPT) history.crashes.remove(history.crashes.minBy { it.value.at }.key)
        if (histories.size > FINGERPRINT_LIMIT) {
            histories.remove(histories.minWith(compareBy({ it.value.crashCount }, { it.value.latestCrash })).key)
        }
    }

    /** Returns whether the request must not be sent to a target at [now]. */
    public fun isSuspended(fingerprint: Long, now: MonotonicTime): Boolean {
        val history = histories[fingerprint] ?: return false
        val latestCrash = history.latestCrash ?: return false
        return now < latestCrash + suspension(fingerprint) && unexplainedCrashes(history) >= CRASH_LIMIT
    }

    /** Returns the number of crashes at which no request was present that more targets ended under. */
    private fun unexplainedCrashes(history: History): Int {
        val count = history.crashCount
        if (count < CRASH_LIMIT) return count
        val stronger = histories.values.filter { it !== history && it.crashCount > count }
        return history.countCrashes(
            history.crashes.values.filter { crash -> stronger.none { crash.target in it.crashes } },
        )
    }

    /** Returns whether the request may go to another target right after one that may have ended under it. */
    public fun mayRetry(fingerprint: Long): Boolean = (histories[fingerprint]?.crashCount ?: 0) + 1 < CRASH_LIMIT

    /** Drops at [now] what is too old to matter. */
    public fun expire(now: MonotonicTime) {
        if (isEmpty) return
        histories.values.removeIf { now - lastChange(it) >= memory(it, WITNESS_MEMORY) }
    }

    /**
     * Returns what other VMs need to know at [now]; if it is too much for an announcement, the requests with the most
     * crashes first, and of these the latest ones.
     */
    public fun announced(now: MonotonicTime): List<CrashObservation> {
        if (isEmpty) return emptyList()
        return histories.entries.filter { (_, history) ->
            now - lastChange(history) <
                memory(history, WITNESS_ANNOUNCEMENT)
        }
            .sortedWith(
                compareByDescending<Map.Entry<Long, History>> {
                    it.value.crashCount
                }.thenByDescending { lastChange(it.value) },
            )
            .flatMap { (fingerprint, history) ->
                val response = history.clearedAt?.let { CrashObservation(fingerprint, null, it, it) }
                listOfNotNull(response) + history.crashes.values.sortedByDescending { it.at }
            }
            .take(ANNOUNCED_LIMIT)
    }

    /** Returns the number of requests that are suspended at [now]. */
    public fun suspendedCount(now: MonotonicTime): Int = histories.keys.count { isSuspended(it, now) }

    private fun lastChange(history: History): MonotonicTime =
        listOfNotNull(history.latestCrash, history.clearedAt).max()

    private fun memory(history: History, ofWitness: Duration): Duration =
        if (history.crashCount >= CRASH_LIMIT) SUSPENDED_MEMORY else ofWitness

    private fun suspension(fingerprint: Long): Duration {
        val score = rendezvousScore(self.hashCode(), fingerprint.hashCode())
        return SHORTEST_SUSPENSION * (1.0 + (score ushr 1).toDouble() / Long.MAX_VALUE.toDouble())
    }

    public companion object {
        /** Crashes after which a request is suspended. */
        public const val CRASH_LIMIT: Int = 2

        /** Shortest time from the latest crash until a suspended request may be tried again. */
        public val SHORTEST_SUSPENSION: Duration = 30.seconds

        /** Time within which a refused connection shows that the target ended with its earlier connections. */
        private val EVIDENCE_TIME = 2.seconds

        /** Longer than the longest suspension, so that a crash of the request that is tried again renews it. */
        private val SUSPENDED_MEMORY = SHORTEST_SUSPENSION * 4

        /** Time for which a request that was at a single target that ended is remembered. */
        private val WITNESS_MEMORY = 20.seconds

        /** Shorter than the time for which others remember it, so that VMs do not remind one another for ever. */
        private val WITNESS_ANNOUNCEMENT = 10.seconds
        private const val POSSIBLE_CRASH_LIMIT = 256
        private const val FINGERPRINT_LIMIT = 256
        private const val CRASHES_KEPT = 8
        private const val ANNOUNCED_LIMIT = 24
    }
}
