package org.anvilshed.core.seats

/**
 * Report that the request path applies [use] and whether all of its running work fits into it.
 *
 * @property use the snapshot that was applied before [fits] was determined.
 */
public data class SeatUsage(public val use: SeatUse, public val fits: Boolean)
