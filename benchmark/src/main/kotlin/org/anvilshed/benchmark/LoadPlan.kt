package org.anvilshed.benchmark

import org.anvilshed.standins.SampleDeployment
import kotlin.time.Duration

// With these service times the slots are full before the processors of one machine that runs seven daemons, the targets
// and the load. At 10 ms the slots allow 11,200 requests/s, and half of that ended in connection timeouts.
private const val MORNING_WORK_MS = 60
private const val EVENING_READ_MS = 80
private const val EVENING_WRITE_MS = 160

/**
 * A kind of requests of a load.
 *
 * @property worth weight of a correct answer.
 * @property share fraction of all requests.
 * @property workMs service time at the target.
 */
public data class LoadKind(
    val service: String,
    val kind: String,
    val idempotent: Boolean,
    val worth: Int,
    val share: Double,
    val workMs: Int,
    val requestBytes: Int,
    val responseBytes: Int,
)

/**
 * Open-loop load with exponential gaps between arrivals.
 *
 * @property rate requests per second.
 * @property warmUp time at the start whose answers are not measured.
 * @property duration measured time after [warmUp].
 * @property seed seed of arrivals, kinds and choice of entry VMs.
 */
public data class LoadPlan(
    val kinds: List<LoadKind>,
    val rate: Double,
    val warmUp: Duration,
    val duration: Duration,
    val seed: Long,
)

/** Peak of a day: the morning has many small lookups, the evening fewer and larger requests. */
public enum class Peak {
    MORNING,
    EVENING,
}

/** Returns the kinds of [peak] with equal load on all services as far as their kinds allow. */
public fun loadKinds(sample: SampleDeployment, peak: Peak): List<LoadKind> {
    val kinds = sample.services.flatMap { service -> service.kinds.map { service to it } }
    val weights = kinds.map { (_, kind) ->
        val isRead = kind.idempotent && kind.priority == 1
        if (peak == Peak.MORNING) (if (isRead) 8.0 else 1.0) else (if (isRead) 1.0 else 2.0)
    }
    return kinds.mapIndexed { index, (service, kind) ->
        val isMorning = peak == Peak.MORNING
        LoadKind(
            service = service.name,
            kind = kind.name,
            idempotent = kind.idempotent,
            worth = kind.priority,
            share = weights[index] / weights.sum(),
            workMs = when {
                isMorning -> MORNING_WORK_MS
                kind.idempotent -> EVENING_READ_MS
                else -> EVENING_WRITE_MS
            },
            requestBytes = if (kind.idempotent) 0 else 2_000,
            responseBytes = if (isMorning) 1_000 else 20_000,
        )
    }
}
