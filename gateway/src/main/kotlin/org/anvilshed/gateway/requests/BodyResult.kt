package org.anvilshed.gateway.requests

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.CompletableDeferred

/** Result of reading the body of a caller's request. */
internal sealed interface BodyResult {
    /** The whole body; `null` if the request has none. */
    class Read(val body: Buffer?) : BodyResult

    /** The body is longer than the limit. */
    data object TooLong : BodyResult

    /** The caller's connection failed before the end of the body. */
    data object Broken : BodyResult
}

/**
 * Reads the body of [request], which may have at most [maximumBytes] bytes.
 *
 * Must be called in the event loop iteration in which the request arrived; the first chunks are lost otherwise. The
 * whole body is kept in memory, so that a retry can send it to another target.
 */
internal fun readBody(request: HttpServerRequest, maximumBytes: Long): CompletableDeferred<BodyResult> {
    val result = CompletableDeferred<BodyResult>()
    val declaredLength = request.getHeader("Content-Length")?.toLongOrNull()
    if (declaredLength != null && declaredLength > maximumBytes) {
        result.complete(BodyResult.TooLong)
        return result
    }
    val body = Buffer.buffer()
    var hasBody = declaredLength != null && declaredLength > 0
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
