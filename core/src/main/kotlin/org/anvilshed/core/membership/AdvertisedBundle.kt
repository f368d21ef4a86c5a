package org.anvilshed.core.membership

import kotlinx.serialization.Serializable
import org.anvilshed.core.bundle.BundleDigest

/** Bundle that a VM has in force, as told in a heartbeat. It is not trusted until the bundle itself is verified. */
@Serializable
public data class AdvertisedBundle(public val version: Long, public val digest: BundleDigest)
