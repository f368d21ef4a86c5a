package org.anvilshed.wire.platform

import kotlin.time.Duration

/** Outcome of one call to a [FakePlatform]. */
enum class CallOutcome {
    DELIVER,

    /** The call takes effect, and its answer is lost. */
    LOSE_ANSWER,

    /** The call is lost before it takes effect. */
    LOSE_REQUEST,

    /** As [LOSE_REQUEST], but the platform receives the write later, see [FakePlatform.deliverDelayed]. */
    DELAY,

    /** The platform answers that it has an outage. */
    OUTAGE,

    /** A read returns the previous version of the object. */
    STALE,
}

/** Decides the outcome of a call; it may suspend so that other operators can act first. */
fun interface CallGate {
    suspend fun pass(call: String): CallOutcome
}

/** In-memory platform. Not thread-safe. */
class FakePlatform {
    private class Stored(val version: Long, val body: ByteArray)

    private val objects = linkedMapOf<String, MutableList<Stored>>()
    private val delayed = mutableListOf<() -> Unit>()
    private var revision = 0L
    var vms: List<PlatformVm> = emptyList()

    fun keys(): Set<String> = objects.keys

    fun bodies(key: String): List<ByteArray> = objects[key].orEmpty().map { it.body }

    fun store(key: String, body: ByteArray) {
        objects.getOrPut(key) { mutableListOf() } += Stored(++revision, body)
    }

    fun deliverDelayed() {
        val writes = delayed.toList()
        delayed.clear()
        writes.forEach { it() }
    }

    fun client(gate: CallGate = CallGate { CallOutcome.DELIVER }): PlatformClient = Client(gate)

    private fun write(key: String, body: ByteArray, expectedVersion: Long): PlatformResult<Long> {
        val current = objects[key]?.last()?.version ?: 0
        if (current != expectedVersion) return PlatformResult.VersionConflict(current)
        store(key, body)
        return PlatformResult.Success(revision)
    }

    private inner class Client(private val gate: CallGate) : PlatformClient {
        override suspend fun get(key: String): PlatformResult<PlatformObject> {
            val outcome = gate.pass("get $key")
            return reading(outcome) {
                val bodies = objects[key].orEmpty()
                val stored = (if (outcome == CallOutcome.STALE) bodies.dropLast(1) else bodies).lastOrNull()
                stored?.let { PlatformResult.Success(PlatformObject(it.version, it.body)) } ?: PlatformResult.NotFound
            }
        }

        override suspend fun put(key: String, body: ByteArray, expectedVersion: Long): PlatformResult<Long> {
            val lost = PlatformResult.OutcomeUncertain("lost")
            return when (gate.pass("put $key")) {
                CallOutcome.DELIVER, CallOutcome.STALE -> write(key, body, expectedVersion)

                CallOutcome.LOSE_ANSWER -> {
                    write(key, body, expectedVersion)
                    lost
                }

                CallOutcome.LOSE_REQUEST -> lost

                CallOutcome.DELAY -> {
                    delayed += { write(key, body, expectedVersion) }
                    lost
                }

                CallOutcome.OUTAGE -> PlatformResult.Unavailable("outage")
            }
        }

        override suspend fun delete(key: String, expectedVersion: Long): PlatformResult<Unit> {
            gate.pass("delete $key")
            objects -= key
            return PlatformResult.Success(Unit)
        }

        override suspend fun list(prefix: String): PlatformResult<PlatformListing> =
            reading(gate.pass("list $prefix")) {
                val entries = objects.filterKeys { it.startsWith(prefix) }
                    .map { PlatformEntry(it.key, it.value.last().version) }
                PlatformResult.Success(PlatformListing(revision, entries))
            }

        override suspend fun watch(prefix: String, after: Long, timeout: Duration): PlatformResult<PlatformChanges> =
            PlatformResult.Success(PlatformChanges(revision, emptyList()))

        override suspend fun listVms(): PlatformResult<List<PlatformVm>> = PlatformResult.Success(vms)

        private fun <T> reading(outcome: CallOutcome, read: () -> PlatformResult<T>): PlatformResult<T> =
            when (outcome) {
                CallOutcome.DELIVER, CallOutcome.STALE -> read()
                CallOutcome.OUTAGE -> PlatformResult.Unavailable("outage")
                else -> PlatformResult.Unavailable("lost")
            }
    }
}
