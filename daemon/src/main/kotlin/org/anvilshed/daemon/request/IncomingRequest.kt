package org.anvilshed.daemon.request

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.wire.peer.HeaderField
import org.anvilshed.wire.peer.RequestMode

/**
 * A request as it arrived, before anything in it was checked.
 *
 * @property service name of the service as written by the caller.
 * @property kind name of the kind as written by the caller, `null` for the default one.
 * @property path path and query for the target.
 * @property deadlineMilliseconds time from [arrivedAt]; `null` for the kind's default, 0 if the value was malformed.
 * @property identifier request identifier as written by the caller.
 * @property declaredLength length of the body as stated in the headers.
 * @property peer where the request came from, if a peer forwarded it.
 */
internal class IncomingRequest(
    val service: String,
    val kind: String?,
    val method: String,
    val path: String,
    val headers: List<HeaderField>,
    val deadlineMilliseconds: Long?,
    val arrivedAt: MonotonicTime,
    val identifier: String?,
    val declaredLength: Long?,
    val body: BodySource,
    val peer: PeerOrigin? = null,
)

/**
 * Where a forwarded request came from and what the peer asks for.
 *
 * @property mayRun whether the request may run in this region by the shift cap of the peer's region.
 */
internal class PeerOrigin(val region: RegionName, val mode: RequestMode, val mayRun: Boolean)
