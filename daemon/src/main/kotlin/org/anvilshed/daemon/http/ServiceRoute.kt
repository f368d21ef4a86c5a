package org.anvilshed.daemon.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.http.HttpServerRequest
import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.anvilshed.daemon.SharedState
import org.anvilshed.daemon.request.IncomingRequest
import org.anvilshed.daemon.request.RequestHandler
import org.anvilshed.daemon.request.StreamBody
import org.anvilshed.daemon.request.endToEndRequestHeaders

private val logger = KotlinLogging.logger {}
internal const val SERVICES_PREFIX = "/v1/services/"

/** Serves requests of callers to `/v1/services/<service>/<path>` with any method. */
internal class ServiceRoute(
    private val shared: SharedState,
    private val requests: RequestHandler,
    private val scope: CoroutineScope,
) {
    private val drain = shared.drain
    private val clock = shared.clock

    /** Serves one request. Its body is read only as fast as it is passed on. */
    fun handle(context: RoutingContext) {
        val request = context.request()
        request.pause()
        val body = StreamBody(request)
        if (!drain.begin()) {
            request.connection().close()
            return
        }
        shared.rate.increment()
        var job: Job? = null
        // The handler runs when the connection is closed before the response has ended.
        request.response().closeHandler { job?.cancel() }
        job = scope.launch(shared.vertx.dispatcher(), CoroutineStart.UNDISPATCHED) {
            val sink = CallerSink(request, shared.local.name, drain::isLeaving)
            try {
                serve(request, body, sink)
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (@Suppress("TooGenericExceptionCaught") fault: Throwable) {
                shared.metrics.recordUnexpectedFault()
                logger.error(fault) { "unexpected exception while a request of a caller was served" }
                sink.finishAfterFault()
            } finally {
                drain.end()
                body.discard()
            }
        }
    }

    private suspend fun serve(request: HttpServerRequest, body: StreamBody, sink: CallerSink) {
        val incoming = incomingOf(request, body)
        val result = requests.serve(incoming, sink)
        shared.metrics.recordRequest(result, clock.now() - incoming.arrivedAt)
        sink.finish(result)
    }

    private fun incomingOf(request: HttpServerRequest, body: StreamBody): IncomingRequest {
        val rest = request.uri().removePrefix(SERVICES_PREFIX)
        val service = rest.substringBefore('?').substringBefore('/')
        val path = rest.removePrefix(service)
        val deadline: String? = request.getHeader("Anvilshed-Deadline-Ms")
        return IncomingRequest(
            service = service,
            kind = request.getHeader("Anvilshed-Kind"),
            method = request.method().name(),
            path = if (path.startsWith('/')) path else "/$path",
            headers = endToEndRequestHeaders(request.headers().entries()),
            // A malformed value is passed on as 0, because only the owner of the identifier may refuse the request.
            deadlineMilliseconds = deadline?.let { it.toLongOrNull() ?: 0 },
            arrivedAt = clock.now(),
            identifier = request.getHeader("Anvilshed-Request-Id"),
            declaredLength = request.getHeader("Content-Length")?.toLongOrNull(),
            body = body,
        )
    }
}
