package org.anvilshed.benchmark

import org.anvilshed.standins.SampleDeployment
import kotlin.time.Duration

// Service times long enough that the slots, not the CPUs, limit one machine that runs seven daemons, the targets and
// the load generator. With 10 ms the slots allow 11,200 requests/s, and half that rate ended in connection timeouts.
private const val MORNING_WORK_MS = 60
private const val EVENING_READ_MS = 80
private const val EVENING_WRITE_MS = 160

/**
 * A request kind in the mix of a load.
 *
 * @property priority relative value of a correct answer.
 * @property fraction fraction of all requests of the load that are of this kind, 0 to 1.
 * @property workMs service time at the target in milliseconds.
 * @property requestBytes size of the request body in bytes.
 * @property responseBytes size of the response body in bytes.
 */
public data class LoadRequestKind(
    val service: String,
    val kind: String,
    val idempotent: Boolean,
    val priority: Int,
    val fraction: Double,
    val workMs: Int,
    val requestBytes: Int,
    val responseBytes: Int,
)

/**
 * Open-loop load with exponentially distributed gaps between arrivals.
 *
 * @property kinds request kinds; their fractions add up to 1.
 * @property rate mean arrivals per second.
 * @property warmUp time at the start whose requests are not measured.
 * @property duration measured time after [warmUp].
 * @property seed random seed of arrivals and kinds, and of the targets of a load without entry VMs.
 */
public data class LoadPlan(
    val kinds: List<LoadRequestKind>,
    val rate: Double,
    val warmUp: Duration,
    val duration: Duration,
    val seed: Long,
)

/** Load at a peak of the day: the morning has many small reads, the evening fewer and larger requests. */
public enum class LoadProfile {
    MORNING,
    EVENING,
}

/**
 * Returns the request kinds of [sample] under [profile]. Reads of priority 1 prevail in the morning and are the rarest
 * in the evening. The weights do not depend on the service, so that services with like kinds get equal load.
 */
public fun loadKinds(sample: SampleDeployment, profile: LoadProfile): List<LoadRequestKind> {
    val kinds = sample.services.flatMap { service -> service.kinds.map { service to it } }
    val weights = kinds.map { (_, kind) ->
        val isPlainRead = kind.idempotent && kind.priority == 1
        if (profile == LoadProfile.MORNING) (if (isPlainRead) 8.0 else 1.0) else (if (isPlainRead) 1.0 else 2.0)
    }
    return kinds.mapIndexed { index, (service, kind) ->
        val isMorning = profile == LoadProfile.MORNING
        LoadRequestKind(
            service = service.name,
            kind = kind.name,
            idempotent = kind.idempotent,
            priority = kind.priority,
            fraction = weights[index] / weights.sum(),
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
