package org.anvilshed.wire.platform

import kotlin.time.Duration

/** What happens to one call of a [FakePlatform]. */
enum class CallFate {
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

/** Decides the fate of a call; it may suspend to let other operators act first. */
fun interface CallGate {
    suspend fun pass(call: String): CallFate
}

/** Platform in memory. Not safe for use by several threads. */
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

    fun client(gate: CallGate = CallGate { CallFate.DELIVER }): PlatformClient = Client(gate)

    private fun write(key: String, body: ByteArray, expectedVersion: Long): PlatformResult<Long> {
        val current = objects[key]?.last()?.version ?: 0
        if (current != expectedVersion) return PlatformResult.VersionConflict(current)
        store(key, body)
        return PlatformResult.Success(revision)
    }

    private inner class Client(private val gate: CallGate) : PlatformClient {
        override suspend fun get(key: String): PlatformResult<PlatformObject> {
            val fate = gate.pass("get $key")
            return reading(fate) {
                val stored = objects[key]?.let { if (fate == CallFate.STALE) it.dropLast(1) else it }?.lastOrNull()
                stored?.let { PlatformResult.Success(PlatformObject(it.version, it.body)) } ?: PlatformResult.NotFound
            }
        }

        override suspend fun put(key: String, body: ByteArray, expectedVersion: Long): PlatformResult<Long> {
            val lost = PlatformResult.OutcomeUncertain("lost")
            return when (gate.pass("put $key")) {
                CallFate.DELIVER, CallFate.STALE -> write(key, body, expectedVersion)

                CallFate.LOSE_ANSWER -> {
                    write(key, body, expectedVersion)
                    lost
                }

                CallFate.LOSE_REQUEST -> lost

                CallFate.DELAY -> {
                    delayed += { write(key, body, expectedVersion) }
                    lost
                }

                CallFate.OUTAGE -> PlatformResult.Unavailable("outage")
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

        private fun <T> reading(fate: CallFate, read: () -> PlatformResult<T>): PlatformResult<T> = when (fate) {
            CallFate.DELIVER, CallFate.STALE -> read()
            CallFate.OUTAGE -> PlatformResult.Unavailable("outage")
            else -> PlatformResult.Unavailable("lost")
        }
    }
}
