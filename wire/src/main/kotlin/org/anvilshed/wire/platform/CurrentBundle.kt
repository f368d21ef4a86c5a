package org.anvilshed.wire.platform

import kotlinx.serialization.Serializable
import org.anvilshed.core.bundle.BundleDigest

/** Content of the object `bundles/current`: the highest version that is signed off. It only increases. */
@Serializable
public data class CurrentBundle(public val version: Long, public val digest: BundleDigest)
