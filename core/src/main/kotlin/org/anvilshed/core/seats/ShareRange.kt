package org.anvilshed.core.seats

import kotlinx.serialization.Serializable
import org.anvilshed.core.VmIdentity

/** Range of [count] consecutive shares that begins with share [first] and belongs to [owner]. */
@Serializable
public data class ShareRange(public val first: Int, public val count: Int, public val owner: VmIdentity)
