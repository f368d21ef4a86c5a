package org.anvilshed.cli

import kotlinx.coroutines.runBlocking
import org.anvilshed.wire.platform.PlatformChanges
import org.anvilshed.wire.platform.PlatformClient
import org.anvilshed.wire.platform.PlatformEntry
import org.anvilshed.wire.platform.PlatformListing
import org.anvilshed.wire.platform.PlatformObject
import org.anvilshed.wire.platform.PlatformResult
import org.anvilshed.wire.platform.PlatformVm
import kotlin.time.Duration
import kotlin.time.Instant

/** In-memory platform and VMs, with a settable clock and numbered ids. */
internal class FakeEnvironment : Environment {
    val objects = sortedMapOf<String, PlatformObject>()
    val vmResults = mutableMapOf<String, VmResult>()
    var putFailure: PlatformResult.Failure? = null
    var isPlatformDown = false
    var time: Instant = Instant.parse("2026-12-04T18:00:00Z")
    private var nextId = 0

    override fun now(): Instant = time

    override fun newWriteId(): String = "id-${nextId++}"

    override fun <T> withPlatform(
        url: String,
        clientName: String,
        timeout: Duration,
        work: suspend (PlatformClient) -> T,
    ): T = runBlocking { work(Client()) }

    override fun get(url: String, parameters: Map<String, String>, timeout: Duration): VmResult =
        vmResults[url + parameters.entries.joinToString("") { " ${it.key}=${it.value}" }]
            ?: VmResult.Unreachable("refused")

    fun store(key: String, body: String) {
        objects[key] = PlatformObject((objects[key]?.version ?: 0) + 1, body.toByteArray())
    }

    private inner class Client : PlatformClient {
        private val outage = PlatformResult.Unavailable("refused")

        override suspend fun get(key: String): PlatformResult<PlatformObject> =
            if (isPlatformDown) outage else objects[key]?.let { PlatformResult.Success(it) } ?: PlatformResult.NotFound

        override suspend fun put(key: String, body: ByteArray, expectedVersion: Long): PlatformResult<Long> {
            val current = objects[key]?.version ?: 0
            return when {
                isPlatformDown -> outage

                putFailure != null -> checkNotNull(putFailure)

                current != expectedVersion -> PlatformResult.VersionConflict(current)

                else -> {
                    objects[key] = PlatformObject(current + 1, body)
                    PlatformResult.Success(current + 1)
                }
            }
        }

        override suspend fun delete(key: String, expectedVersion: Long): PlatformResult<Unit> = outage

        override suspend fun list(prefix: String): PlatformResult<PlatformListing> {
            val entries = objects.filterKeys { it.startsWith(prefix) }.map { PlatformEntry(it.key, it.value.version) }
            return if (isPlatformDown) outage else PlatformResult.Success(PlatformListing(1, entries))
        }

        override suspend fun watch(prefix: String, after: Long, timeout: Duration): PlatformResult<PlatformChanges> =
            outage

        override suspend fun listVms(): PlatformResult<List<PlatformVm>> = outage
    }
}
