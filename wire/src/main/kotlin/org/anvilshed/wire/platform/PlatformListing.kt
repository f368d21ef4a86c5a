package org.anvilshed.wire.platform

import kotlinx.serialization.Serializable

/**
 * Keys and versions of the objects under a prefix.
 *
 * @property revision revision from which a watch reports all later changes.
 */
@Serializable
public data class PlatformListing(public val revision: Long, public val objects: List<PlatformEntry>)

/** Key and version of an object. */
@Serializable
public data class PlatformEntry(public val key: String, public val version: Long)
