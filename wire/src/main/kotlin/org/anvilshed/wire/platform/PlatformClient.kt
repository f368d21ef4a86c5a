package org.anvilshed.wire.platform

import kotlin.time.Duration

/**
 * Client of the platform's object API. Each function makes one call without retries; failures are returned as values.
 *
 * The platform limits the rate of calls and stores values of up to 1 MiB.
 */
public interface PlatformClient {
    /** Reads the object under [key]. */
    public suspend fun get(key: String): PlatformResult<PlatformObject>

    /**
     * Writes [body] under [key] if the object has [expectedVersion] (0: if there is no object) and returns the new
     * version.
     */
    public suspend fun put(key: String, body: ByteArray, expectedVersion: Long): PlatformResult<Long>

    /** Deletes the object under [key] if it has [expectedVersion]. */
    public suspend fun delete(key: String, expectedVersion: Long): PlatformResult<Unit>

    /** Lists the keys that start with [prefix]. */
    public suspend fun list(prefix: String): PlatformResult<PlatformListing>

    /**
     * Waits up to [timeout] for changes after revision [after] of keys that start with [prefix]. A timeout yields
     * no events.
     */
    public suspend fun watch(prefix: String, after: Long, timeout: Duration): PlatformResult<PlatformChanges>

    /** Reads the list of live and leaving VMs, which may be outdated. */
    public suspend fun listVms(): PlatformResult<List<PlatformVm>>
}
