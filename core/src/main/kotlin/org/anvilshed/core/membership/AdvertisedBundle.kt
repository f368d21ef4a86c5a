package org.anvilshed.core.membership

import kotlinx.serialization.Serializable
import org.anvilshed.core.bundle.BundleDigest

/**
 * Bundle that a VM has in force according to its heartbeat. The heartbeat is not trusted until the bundle itself is
 * verified.
 */
@Serializable
public data class AdvertisedBundle(public val version: Long, public val digest: BundleDigest)
