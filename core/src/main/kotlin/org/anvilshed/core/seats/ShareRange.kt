package org.anvilshed.core.seats

import kotlinx.serialization.Serializable
import org.anvilshed.core.VmIdentity

/** Consecutive shares from [first] on, [count] of them, that belong to [owner]. */
@Serializable
public data class ShareRange(public val first: Int, public val count: Int, public val owner: VmIdentity)
