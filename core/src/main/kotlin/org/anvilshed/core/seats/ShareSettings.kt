package org.anvilshed.core.seats

import org.anvilshed.core.VmIdentity
import org.anvilshed.core.bundle.Bundle
import kotlin.time.Duration

/**
 * What the bundle in force says about shares.
 *
 * @property shares number of shares of the scope; see [ShareHolder.changeSettings] for a change.
 * @property isolationLimit how long a member may use its shares after the end of its lease.
 * @property longestDeadline largest deadline of all kinds of all services.
 * @property retired processes that the operators declare ended.
 */
public data class ShareSettings(
    public val shares: Int,
    public val isolationLimit: Duration,
    public val longestDeadline: Duration,
    public val retired: Set<VmIdentity> = emptySet(),
)

/** Returns what the bundle says about shares. */
public fun Bundle.shareSettings(): ShareSettings = ShareSettings(
    shares = shareCount,
    isolationLimit = isolationLimit,
    longestDeadline = services.values.flatMap { it.kinds.values }.maxOfOrNull { it.maximumDeadline } ?: Duration.ZERO,
    retired = retired.mapTo(HashSet()) { VmIdentity(it.vm, it.incarnation) },
)
