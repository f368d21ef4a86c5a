package org.anvilshed.wire.platform

import kotlinx.serialization.Serializable

/**
 * Changes that a watch reports.
 *
 * @property revision revision from which the next watch continues.
 */
@Serializable
public data class PlatformChanges(public val revision: Long, public val events: List<PlatformEvent>)

/** Change of the object under [key]. */
@Serializable
public data class PlatformEvent(public val key: String, public val version: Long, public val deleted: Boolean = false)
