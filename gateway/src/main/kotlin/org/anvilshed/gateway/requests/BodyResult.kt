package org.anvilshed.gateway.requests

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.CompletableDeferred

/** Body of a caller's request as far as it was read. */
internal sealed interface BodyResult {
    /** The whole body; `null` if the request has none. */
    class Read(val body: Buffer?) : BodyResult

    /** The body is longer than allowed. */
    data object TooLong : BodyResult

    /** The caller's connection broke before the end of the body. */
    data object Broken : BodyResult
}

/**
 * Reads the body of [request]; must be called in the same turn of the event loop in which the request arrived.
 *
 * The body is held whole, so that it can be sent to a second target.
 */
internal fun readBody(request: HttpServerRequest, maximumBytes: Long): CompletableDeferred<BodyResult> {
    val result = CompletableDeferred<BodyResult>()
    val declared = request.getHeader("Content-Length")?.toLongOrNull()
    if (declared != null && declared > maximumBytes) {
        result.complete(BodyResult.TooLong)
        return result
    }
    val body = Buffer.buffer()
    var hasBody = declared != null && declared > 0
    request.handler { chunk ->
        hasBody = true
        if (body.length() + chunk.length() > maximumBytes) {
            result.complete(BodyResult.TooLong)
        } else {
            body.appendBuffer(chunk)
        }
    }
    request.exceptionHandler { result.complete(BodyResult.Broken) }
    request.endHandler { result.complete(BodyResult.Read(body.takeIf { hasBody })) }
    return result
}
