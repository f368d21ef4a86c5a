package org.anvilshed.daemon.request

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.bundle.RequestKind
import org.anvilshed.core.bundle.Service
import org.anvilshed.core.execution.RequestIdentifier
import org.anvilshed.wire.peer.HeaderField

/**
 * A request to a service, from a caller or from a peer.
 *
 * @property path path and query as the target gets them.
 * @property headers end-to-end headers.
 * @property deadline end of the whole request on this process's clock.
 * @property isForwarded whether a peer decided that the request runs here; it is not sent to other VMs or retried.
 * @property enteredIn region in which a caller handed in the request.
 */
internal class ServiceRequest(
    val service: Service,
    val kind: RequestKind,
    val method: String,
    val path: String,
    val headers: List<HeaderField>,
    val deadline: MonotonicTime,
    val identifier: RequestIdentifier?,
    val body: RequestBody,
    val isForwarded: Boolean,
    val enteredIn: RegionName,
)
