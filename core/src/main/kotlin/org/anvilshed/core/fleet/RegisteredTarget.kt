package org.anvilshed.core.fleet

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ServiceName
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.ZoneName

/**
 * One lifetime of a target process.
 *
 * @property name registered identifier, which a target may keep over a restart.
 * @property startedAtMillis Unix time of the start in milliseconds; tells lifetimes of one name apart. 0 if unknown.
 */
public data class TargetKey(public val name: String, public val startedAtMillis: Long)

/**
 * Target as it registered itself.
 *
 * @property slots requests that the target processes at the same time.
 * @property draining whether the target announced that it is leaving and must get no new requests.
 * @property coldUntil time until which the target is cold, by the clock of this process.
 */
public data class RegisteredTarget(
    public val key: TargetKey,
    public val service: ServiceName,
    public val address: SocketAddress,
    public val zone: ZoneName,
    public val slots: Int,
    public val draining: Boolean,
    public val coldUntil: MonotonicTime,
)
