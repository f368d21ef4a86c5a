package org.anvilshed.daemon.request

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.bundle.RequestKind
import org.anvilshed.core.bundle.Service
import org.anvilshed.core.execution.RequestIdentifier
import org.anvilshed.wire.peer.HeaderField

/**
 * A request of a caller or peer whose service, kind and deadline were checked against the bundle.
 *
 * @property path path and query as the target gets them.
 * @property headers end-to-end headers.
 * @property deadline time on the monotonic clock of this process at which the request ends, including all attempts.
 * @property identifier identifier of a non-idempotent request, otherwise `null`.
 * @property isForwarded whether a peer chose this VM to run the request; the request is then neither sent to other VMs
 *   nor retried.
 * @property enteredIn region of the entry VM to which the caller sent the request.
 */
internal class ResolvedRequest(
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
