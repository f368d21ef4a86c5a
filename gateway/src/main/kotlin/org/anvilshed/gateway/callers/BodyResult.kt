package org.anvilshed.gateway.callers

import io.vertx.core.buffer.Buffer

/** Result of reading the body of a caller's request. */
internal sealed interface BodyResult {
    /** The whole body; `null` if the request has none. */
    class Read(val body: Buffer?) : BodyResult

    /** The body is longer than the limit. */
    data object TooLong : BodyResult

    /** The bodies of all requests in progress leave no memory for this one. */
    data object NoMemory : BodyResult

    /** The body is malformed. */
    data object Broken : BodyResult
}
