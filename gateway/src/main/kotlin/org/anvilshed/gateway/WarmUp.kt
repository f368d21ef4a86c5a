package org.anvilshed.gateway

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.ZoneName
import org.anvilshed.core.fleet.CrashSuspicions
import org.anvilshed.core.fleet.RegisteredTarget
import org.anvilshed.core.fleet.TargetKey
import org.anvilshed.core.ingress.CallerLimits
import org.anvilshed.core.ingress.IngressConfig
import org.anvilshed.core.ingress.IngressRoute
import org.anvilshed.core.ingress.RoutePart
import org.anvilshed.core.ingress.ServicePolicy
import org.anvilshed.core.placement.PlacementSettings
import org.anvilshed.core.placement.ServicePool
import org.anvilshed.core.placement.SharedRetryBudget
import org.anvilshed.core.placement.ShiftChangeLimiter
import org.anvilshed.gateway.callers.CallerServer
import org.anvilshed.gateway.requests.CallerRequestHandler
import org.anvilshed.gateway.requests.RequestForwarder
import org.anvilshed.gateway.requests.ServiceQueue
import org.anvilshed.gateway.targets.TargetConnectionPool
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends requests through a temporary request path to a temporary target in this process, so that the code that serves
 * callers is loaded and compiled before the first caller connects. No other process is involved.
 *
 * @param host local address on which two free ports are opened during the warm-up.
 */
public class WarmUp(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val headerNames: RequestHeaderNames,
    private val log: DecisionLog,
    private val clock: MonotonicClock,
    private val host: String,
) {
    private val service = ServiceName("warm-up")

    /** Sends [count] requests, or as many as complete within [limit]. */
    public suspend fun run(count: Int, limit: Duration) {
        val startedAt = clock()
        val target = vertx.createHttpServer().requestHandler(::respondAsTarget).listen(0, host).coAwait()
        val proxy = newProxy(target)
        val proxyPort = proxy.listen(SocketAddress(host, 0))
        val client = vertx.createHttpClient(HttpClientOptions(), PoolOptions().setHttp1MaxSize(CONCURRENCY))
        var completed = 0
        withTimeoutOrNull(limit) {
            for (worker in 0 until CONCURRENCY) {
                launch {
                    for (number in worker until count step CONCURRENCY) {
                        request(client, proxyPort, number)
                        completed++
                    }
                }
            }
        }
        client.close().coAwait()
        proxy.close()
        target.close().coAwait()
        log.info("warmed-up", "requests" to completed, "took_ms" to (clock() - startedAt).inWholeMilliseconds)
    }

    private suspend fun request(client: io.vertx.core.http.HttpClient, proxyPort: Int, number: Int) {
        val method = if (number % 2 == 0) HttpMethod.GET else HttpMethod.POST
        val options = RequestOptions().setMethod(
            method,
        ).setHost(host).setPort(proxyPort).setURI("$PREFIX$number")
            .putHeader(headerNames.requestId, "warm-up-$number").putHeader(headerNames.deadlineMillis, "5000")
            .putHeader(headerNames.affinityKey, "${number % OBJECTS}")
        val request = client.request(options).coAwait()
        val response = if (method == HttpMethod.GET) request.send() else request.send("warm-up")
        response.coAwait().body().coAwait()
    }

    private fun respondAsTarget(request: HttpServerRequest) {
        request.response().putHeader(headerNames.requestId, request.getHeader(headerNames.requestId))
            .putHeader(headerNames.targetLoad, "1,0,$CONCURRENCY").end("warm-up")
    }

    private fun newProxy(target: HttpServer): CallerServer {
        val zone = ZoneName("warm-up")
        val placement =
            PlacementSettings(zone, mapOf(zone to RegionName("warm-up")), 0.0, 10.seconds, 0.0, 1.0, 1.0, 0.0)
        val pool =
            ServicePool("warm-up", { placement }, ShiftChangeLimiter({ 0.0 }, RegionName("warm-up"))) { 1.milliseconds }
        val address = SocketAddress(host, target.actualPort())
        val fleet =
            listOf(RegisteredTarget(TargetKey("warm-up", 0), service, address, zone, CONCURRENCY, false, clock()))
        pool.updateTargets(fleet, emptySet(), clock())
        val queue = ServiceQueue(pool, SharedRetryBudget({ 0.0 }, { 0.0 }, 10.seconds), clock)
        val metrics = GatewayMetrics()
        val connections = TargetConnectionPool(vertx.createHttpClient(), log, clock) { _, _ -> }
        val forwarder = RequestForwarder(
            queues = { queue },
            connections = connections,
            headerNames = headerNames,
            log = log,
            metrics = metrics,
            clock = clock,
            // With a clock that stands still, requests never wait for socket reads; no caller here disconnects.
            eventLoopMonitor = EventLoopMonitor { MonotonicTime(0) },
            crashes = CrashSuspicions("warm-up"),
            onTargetLeaving = {},
            members = { 1 },
            connectionLimit = { CONCURRENCY },
            connectTimeout = { 1.seconds },
            stopDeadline = { null },
        )
        val state = IngressState().apply { replace(config()) }
        val handler = CallerRequestHandler(scope, state, forwarder, headerNames, log, metrics, clock)
        return CallerServer(
            vertx = vertx,
            clock = clock,
            limits = { state.currentOrNull?.config?.callerLimits },
            isLeaving = { false },
            serve = handler::handle,
            onFault = { log.warning("warm-up-failed", "cause" to it) },
        )
    }

    private fun config(): IngressConfig {
        val route = IngressRoute(
            name = "warm-up",
            host = host,
            pathPrefix = PREFIX,
            idempotent = true,
            timeout = 5.seconds,
            latencyObjective = 1.seconds,
            priority = 0,
            parts = listOf(RoutePart(service, 1)),
            maximumAttempts = 1,
            sticky = true,
            homeRegions = emptySet(),
        )
        val policy = ServicePolicy(CONCURRENCY, 1.seconds, 1.0)
        return IngressConfig(
            1,
            listOf(route),
            mapOf(service to policy),
            CallerLimits(65_536, 65_536, 5.seconds, 5.seconds),
        )
    }

    private companion object {
        const val CONCURRENCY = 4
        const val OBJECTS = 32
        const val PREFIX = "/warm-up/"
    }
}
