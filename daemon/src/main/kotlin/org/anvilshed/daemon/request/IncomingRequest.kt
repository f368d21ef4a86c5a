package org.anvilshed.daemon.request

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.wire.peer.HeaderField
import org.anvilshed.wire.peer.RequestMode

/**
 * A received request before any check. [ResolvedRequest] is the request after its check against the bundle.
 *
 * @property service name of the service as written by the caller.
 * @property kind name of the kind as written by the caller, `null` for the default one.
 * @property path path and query for the target.
 * @property deadlineMilliseconds time from [arrivedAt] to the deadline; `null` for the default of the kind, 0 if the
 *   value was malformed.
 * @property identifier request identifier as written by the caller.
 * @property declaredLength length of the body in bytes as stated in the headers, `null` if it is not stated.
 * @property peer the peer that forwarded the request, `null` if a caller sent it to this VM.
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
 * Region of the peer that forwarded a request, and what the peer asks for.
 *
 * @property mayRun whether the shift cap of the peer's region allows the request to run in this region.
 */
internal class PeerOrigin(val region: RegionName, val mode: RequestMode, val mayRun: Boolean)
