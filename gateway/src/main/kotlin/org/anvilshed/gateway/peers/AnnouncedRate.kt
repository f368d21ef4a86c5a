package org.anvilshed.gateway.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.fleet.TargetKey
import org.anvilshed.core.placement.RateLimitStatement
import org.anvilshed.core.placement.TargetRate
import kotlin.math.roundToInt
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a VM announces about a target that states a rate limit.
 *
 * @property targetHash [hashOf] the target process.
 * @property limit hundredths of a request per second, [UNLIMITED], or [NOT_STATED].
 * @property ageMillis time since the target stated the limit.
 * @property sends rate at which the VM sent to the target recently, in hundredths of a request per second.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class AnnouncedRate(
    public val targetHash: Int,
    public val limit: Int,
    public val ageMillis: Int,
    public val sends: Int,
) {
    private val statement: RateLimitStatement?
        get() = when {
            limit >= 0 -> RateLimitStatement.Limited(limit / UNITS)
            limit == UNLIMITED -> RateLimitStatement.Unlimited
            else -> null
        }

    public companion object {
        /** [limit] if the target stated that it has none any more. */
        public const val UNLIMITED: Int = -1

        /** [limit] if the target stated none to the announcing VM. */
        public const val NOT_STATED: Int = -2
        private const val UNITS = 100.0

        /** Returns the key of a target process in announcements; another process of the same name has another one. */
        public fun hashOf(target: TargetKey): Int = target.hashCode()

        /** Returns the [rate] of [target] as it is announced at [now]. */
        public fun of(target: TargetKey, rate: TargetRate, now: MonotonicTime): AnnouncedRate = AnnouncedRate(
            targetHash = hashOf(target),
            limit = when (val statement = rate.statement) {
                // Conversion to Int saturates, so a huge limit remains a huge one.
                is RateLimitStatement.Limited -> (statement.requestsPerSecond * UNITS).toInt()

                RateLimitStatement.Unlimited -> UNLIMITED

                RateLimitStatement.Unreadable, null -> NOT_STATED
            },
            ageMillis = (now - rate.statedAt).inWholeMilliseconds.coerceIn(0, Int.MAX_VALUE.toLong()).toInt(),
            sends = (rate.sendsPerSecond * UNITS).roundToInt(),
        )

        /** Sums up the rates that [peers] announced, by [targetHash]; of several limits, the one stated last counts. */
        public fun sum(peers: List<PeerVm>): Map<Int, TargetRate> {
            val result = HashMap<Int, TargetRate>()
            for (peer in peers) {
                for (rate in peer.announcement.rates) {
                    val statedAt = peer.receivedAt - rate.ageMillis.coerceAtLeast(0).milliseconds
                    val announced = TargetRate(rate.statement, statedAt, rate.sends.coerceAtLeast(0) / UNITS)
                    result.merge(rate.targetHash, announced, ::combine)
                }
            }
            return result
        }

        private fun combine(first: TargetRate, second: TargetRate): TargetRate {
            val isSecondLater =
                first.statement == null || (second.statement != null && second.statedAt > first.statedAt)
            val latest = if (isSecondLater) second else first
            return latest.copy(sendsPerSecond = first.sendsPerSecond + second.sendsPerSecond)
        }
    }
}
