package org.anvilshed.wire.platform

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.anvilshed.core.bundle.SignedBundle

/** Prefix of the keys of all bundle objects; a watch on this prefix reports new bundles. */
public const val BUNDLES_PREFIX: String = "bundles/"

/** Key of the object that names the highest version that is signed off. */
public const val CURRENT_BUNDLE_KEY: String = "bundles/current"

private const val VERSION_DIGITS = 8

/** Returns the key of the object of bundle [version]. */
public fun bundleKey(version: Long): String = BUNDLES_PREFIX + version.toString().padStart(VERSION_DIGITS, '0')

/** Returns the version in the [key] of a bundle object, or `null` for any other key. */
public fun parseBundleKeyOrNull(key: String): Long? =
    key.removePrefix(BUNDLES_PREFIX).toLongOrNull()?.takeIf { it > 0 && bundleKey(it) == key }

/**
 * Reads and writes the bundle objects on the platform. Bundles are decoded, but not verified. Each function makes one
 * call to the platform.
 */
public class BundleStore(private val client: PlatformClient) {
    private val json = Json { ignoreUnknownKeys = true }

    /** Reads `bundles/current`. */
    public suspend fun readCurrent(): PlatformResult<Versioned<CurrentBundle>> =
        read(CURRENT_BUNDLE_KEY, CurrentBundle.serializer())

    /** Writes `bundles/current` if it has [expectedVersion]; callers use [BundleProcedures], which only raise it. */
    internal suspend fun writeCurrent(current: CurrentBundle, expectedVersion: Long): PlatformResult<Long> =
        write(CURRENT_BUNDLE_KEY, CurrentBundle.serializer(), current, expectedVersion)

    /** Reads the record of bundle [version]. */
    public suspend fun readRecord(version: Long): PlatformResult<Versioned<SignedBundle>> =
        read(bundleKey(version), SignedBundle.serializer())

    /** Writes the record of bundle [version] if its object has [expectedVersion]. */
    internal suspend fun writeRecord(
        version: Long,
        record: SignedBundle,
        expectedVersion: Long,
    ): PlatformResult<Long> = write(bundleKey(version), SignedBundle.serializer(), record, expectedVersion)

    /** Lists the versions of all bundle objects in ascending order. */
    public suspend fun listVersions(): PlatformResult<List<Long>> = when (val listing = client.list(BUNDLES_PREFIX)) {
        is PlatformResult.Failure -> listing

        is PlatformResult.Success ->
            PlatformResult.Success(listing.value.objects.mapNotNull { parseBundleKeyOrNull(it.key) }.sorted())
    }

    private suspend fun <T> read(key: String, serializer: KSerializer<T>): PlatformResult<Versioned<T>> =
        when (val result = client.get(key)) {
            is PlatformResult.Failure -> result

            is PlatformResult.Success -> try {
                val value = json.decodeFromString(serializer, result.value.body.decodeToString())
                PlatformResult.Success(Versioned(result.value.version, value))
            } catch (fault: SerializationException) {
                PlatformResult.Malformed("the object $key cannot be decoded: ${fault.message}")
            }
        }

    private suspend fun <T> write(
        key: String,
        serializer: KSerializer<T>,
        value: T,
        expectedVersion: Long,
    ): PlatformResult<Long> = client.put(key, json.encodeToString(serializer, value).toByteArray(), expectedVersion)
}
