package org.anvilshed.core.seats

import org.anvilshed.core.VmIdentity
import org.anvilshed.core.bundle.Bundle
import kotlin.time.Duration

/**
 * Settings of the shares of a scope, from the bundle in force.
 *
 * @property shares number of shares of the scope; [ShareHolder.changeSettings] says when a changed number is applied.
 * @property isolationLimit how long a member may use its shares after the end of its lease.
 * @property longestDeadline largest maximum deadline of all request kinds of all services.
 * @property retired processes that the operators declare to have ended.
 */
public data class ShareSettings(
    public val shares: Int,
    public val isolationLimit: Duration,
    public val longestDeadline: Duration,
    public val retired: Set<VmIdentity> = emptySet(),
)

/** Returns the settings of the shares, which are the same for all scopes. */
public fun Bundle.shareSettings(): ShareSettings = ShareSettings(
    shares = shareCount,
    isolationLimit = isolationLimit,
    longestDeadline = services.values.flatMap { it.kinds.values }.maxOfOrNull { it.maximumDeadline } ?: Duration.ZERO,
    retired = retired.mapTo(HashSet()) { VmIdentity(it.vm, it.incarnation) },
)
