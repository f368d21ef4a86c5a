package org.anvilshed.wire.platform

import kotlinx.serialization.Serializable

/**
 * Keys of objects.
 *
 * @property revision revision to start a watch from.
 */
@Serializable
public data class PlatformListing(public val revision: Long, public val objects: List<PlatformEntry>)

/** Key and version of an object. */
@Serializable
public data class PlatformEntry(public val key: String, public val version: Long)
