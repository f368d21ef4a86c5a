package org.anvilshed.wire.platform

/** Result of one call to the platform. */
public sealed interface PlatformResult<out T> {
    /** The call succeeded. */
    public data class Success<out T>(public val value: T) : PlatformResult<T>

    /** A call that did not succeed. */
    public sealed interface Failure : PlatformResult<Nothing>

    /** There is no object under the key. */
    public data object NotFound : Failure

    /**
     * The object has another version than expected, and nothing was written.
     *
     * @property currentVersion version found by the platform, 0 if there is no object, or `null` if the response does
     * not state the version.
     */
    public data class VersionConflict(public val currentVersion: Long?) : Failure

    /** The body is larger than 1 MiB, and nothing was written. */
    public data object TooLarge : Failure

    /** The rate limit was reached, and nothing was read or written. */
    public data object RateLimited : Failure

    /** The platform no longer has the changes after the revision given to a watch: list again. */
    public data object RevisionTooOld : Failure

    /** The content of the object cannot be decoded. */
    public data class Malformed(public val message: String) : Failure

    /** The platform cannot be reached or has an outage; a write did not take effect. */
    public data class Unavailable(public val message: String) : Failure

    /** The response to a write was lost, and the write may have taken effect: read the object back. */
    public data class OutcomeUncertain(public val message: String) : Failure
}

/** Returns the value of a successful call, otherwise `null`. */
public fun <T> PlatformResult<T>.valueOrNull(): T? = (this as? PlatformResult.Success)?.value
