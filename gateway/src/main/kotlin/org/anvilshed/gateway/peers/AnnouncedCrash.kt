package org.anvilshed.gateway.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.fleet.CrashObservation
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a VM knows about a request that was at a target that ended.
 *
 * @property fingerprint equal for all attempts of one request.
 * @property targetHash identifies the target process that ended, or `null` if a target responded to the request.
 * @property ageMillis time since the target ended or responded.
 * @property durationMillis time for which the target had the request.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class AnnouncedCrash(
    public val fingerprint: Long,
    public val targetHash: Int?,
    public val ageMillis: Int,
    public val durationMillis: Int,
) {
    /** Returns the observation, which was announced at [receivedAt]. */
    public fun toObservation(receivedAt: MonotonicTime): CrashObservation {
        val at = receivedAt - ageMillis.coerceAtLeast(0).milliseconds
        return CrashObservation(fingerprint, targetHash, at - durationMillis.coerceAtLeast(0).milliseconds, at)
    }

    public companion object {
        /** Returns [observation] as it is announced at [now]. */
        public fun of(observation: CrashObservation, now: MonotonicTime): AnnouncedCrash = AnnouncedCrash(
            fingerprint = observation.fingerprint,
            targetHash = observation.target,
            ageMillis = wholeMillis(now - observation.at),
            durationMillis = wholeMillis(observation.at - observation.sentAt),
        )

        private fun wholeMillis(duration: Duration): Int =
            duration.inWholeMilliseconds.coerceIn(0, Int.MAX_VALUE.toLong()).toInt()
    }
}
