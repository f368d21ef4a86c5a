package org.anvilshed.core.seats

/**
 * Report that the request path applies [usable] and whether all of its running work fits into it.
 *
 * @property usable the snapshot that was applied before [fits] was determined.
 */
public data class AppliedShares(public val usable: UsableShares, public val fits: Boolean)
