package org.anvilshed.core.seats

/**
 * Report of the request path about the [UsableShares] that it has applied.
 *
 * @property usable snapshot that was applied before [fits] was determined.
 * @property fits whether all requests in flight fit into the limits that follow from [usable].
 */
public data class AppliedShares(public val usable: UsableShares, public val fits: Boolean)
