package org.anvilshed.core.fleet

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ServiceName
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.ZoneName

/**
 * Identifies one run of a target process, from its start to its end.
 *
 * @property name registered name, which a target may keep when it restarts.
 * @property startedAtMillis Unix time of the start in milliseconds, which differs between runs with one name; 0 if
 *   unknown.
 */
public data class TargetKey(public val name: String, public val startedAtMillis: Long)

/**
 * Target as it registered itself in the store.
 *
 * @property key name and start of the target process.
 * @property slots number of requests that the target processes at the same time.
 * @property draining whether the target announced that it shuts down and must get no new requests.
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
