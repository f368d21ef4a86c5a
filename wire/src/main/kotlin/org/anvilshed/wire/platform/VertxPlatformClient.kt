package org.anvilshed.wire.platform

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.HttpRequest
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.anvilshed.http.withStrictResponses
import java.net.ConnectException
import java.net.UnknownHostException
import java.nio.channels.UnresolvedAddressException
import kotlin.time.Duration

private const val STATUS_OK = 200
private const val STATUS_NOT_FOUND = 404
private const val STATUS_CONFLICT = 409
private const val STATUS_GONE = 410
private const val STATUS_TOO_LARGE = 413
private const val STATUS_RATE_LIMITED = 429
private const val STATUS_UNAVAILABLE = 503
private const val OBJECT_VERSION = "Object-Version"

/**
 * [PlatformClient] over HTTP.
 *
 * @param clientName name of the VM or operator, sent with each call.
 * @param url base URL of the platform, without a path.
 * @param requestTimeout maximum time of one call; a watch may take its own timeout in addition.
 * @param onStrayBytes called with the first bytes that the platform wrote outside a response; their connection is
 *   closed.
 */
public class VertxPlatformClient(
    vertx: Vertx,
    private val url: String,
    private val clientName: String,
    private val requestTimeout: Duration,
    onStrayBytes: (String) -> Unit = {},
) : PlatformClient,
    AutoCloseable {
    private val json = Json { ignoreUnknownKeys = true }
    private val options = WebClientOptions()
        .setFollowRedirects(false)
        .setUserAgentEnabled(false)
        .setConnectTimeout(requestTimeout.inWholeMilliseconds.toInt())
    private val client: WebClient = WebClient.wrap(
        vertx.httpClientBuilder().with(options).withStrictResponses { _, bytes -> onStrayBytes(bytes) }.build(),
        options,
    )

    override suspend fun get(key: String): PlatformResult<PlatformObject> =
        read(request(HttpMethod.GET, "/v1/objects/$key")) { response ->
            versionOf(response)?.let { PlatformObject(it, bytesOf(response)) }
        }

    override suspend fun put(key: String, body: ByteArray, expectedVersion: Long): PlatformResult<Long> =
        write(request(HttpMethod.PUT, "/v1/objects/$key").expecting(expectedVersion), body, ::versionOf)

    override suspend fun delete(key: String, expectedVersion: Long): PlatformResult<Unit> =
        write(request(HttpMethod.DELETE, "/v1/objects/$key").expecting(expectedVersion), body = null) { }

    override suspend fun list(prefix: String): PlatformResult<PlatformListing> =
        read(request(HttpMethod.GET, "/v1/objects").addQueryParam("prefix", prefix)) { decode(it) }

    override suspend fun watch(prefix: String, after: Long, timeout: Duration): PlatformResult<PlatformChanges> {
        val request = request(HttpMethod.GET, "/v1/watch")
            .addQueryParam("prefix", prefix)
            .addQueryParam("after", after.toString())
            .addQueryParam("timeout_ms", timeout.inWholeMilliseconds.toString())
            .timeout((timeout + requestTimeout).inWholeMilliseconds)
        return read(request) { decode(it) }
    }

    override suspend fun listVms(): PlatformResult<List<PlatformVm>> =
        read(request(HttpMethod.GET, "/v1/vms")) { decode<VmList>(it).vms }

    override fun close(): Unit = client.close()

    private fun request(method: HttpMethod, path: String): HttpRequest<Buffer> = client
        .requestAbs(method, url.trimEnd('/') + path)
        .putHeader("Client-Name", clientName)
        .timeout(requestTimeout.inWholeMilliseconds)

    private fun HttpRequest<Buffer>.expecting(version: Long): HttpRequest<Buffer> =
        putHeader("If-Version", version.toString())

    private suspend fun <T : Any> read(
        request: HttpRequest<Buffer>,
        value: (HttpResponse<Buffer>) -> T?,
    ): PlatformResult<T> = try {
        val response = request.send().coAwait()
        failureOf(response) ?: successOf(response, value) ?: PlatformResult.Unavailable("malformed response")
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (@Suppress("TooGenericExceptionCaught") failure: Exception) {
        // Vert.x throws exceptions of many types for lost connections, timeouts and protocol faults.
        PlatformResult.Unavailable(describe(failure))
    }

    private suspend fun <T : Any> write(
        request: HttpRequest<Buffer>,
        body: ByteArray?,
        value: (HttpResponse<Buffer>) -> T?,
    ): PlatformResult<T> = try {
        val sent = if (body == null) request.send() else request.sendBuffer(Buffer.buffer(body))
        val response = sent.coAwait()
        failureOf(response) ?: successOf(response, value) ?: PlatformResult.OutcomeUncertain("malformed response")
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failure: ConnectException) {
        PlatformResult.Unavailable(describe(failure))
    } catch (failure: UnknownHostException) {
        PlatformResult.Unavailable(describe(failure))
    } catch (failure: UnresolvedAddressException) {
        PlatformResult.Unavailable(describe(failure))
    } catch (@Suppress("TooGenericExceptionCaught") failure: Exception) {
        PlatformResult.OutcomeUncertain(describe(failure))
    }

    private fun failureOf(response: HttpResponse<Buffer>): PlatformResult.Failure? = when (response.statusCode()) {
        STATUS_NOT_FOUND -> PlatformResult.NotFound
        STATUS_CONFLICT -> PlatformResult.VersionConflict(versionOf(response))
        STATUS_GONE -> PlatformResult.RevisionTooOld
        STATUS_TOO_LARGE -> PlatformResult.TooLarge
        STATUS_RATE_LIMITED -> PlatformResult.RateLimited
        STATUS_UNAVAILABLE -> PlatformResult.Unavailable("the platform reports an outage (status 503)")
        else -> null
    }

    private fun <T : Any> successOf(
        response: HttpResponse<Buffer>,
        value: (HttpResponse<Buffer>) -> T?,
    ): PlatformResult.Success<T>? = try {
        response.takeIf { it.statusCode() == STATUS_OK }?.let(value)?.let { PlatformResult.Success(it) }
    } catch (_: SerializationException) {
        null
    }

    private fun versionOf(response: HttpResponse<Buffer>): Long? = response.getHeader(OBJECT_VERSION)?.toLongOrNull()

    private fun bytesOf(response: HttpResponse<Buffer>): ByteArray = response.body()?.bytes ?: ByteArray(0)

    private inline fun <reified T> decode(response: HttpResponse<Buffer>): T =
        json.decodeFromString<T>(bytesOf(response).decodeToString())

    private fun describe(failure: Exception): String = "${failure::class.simpleName}: ${failure.message}"
}

@Serializable
private data class VmList(val vms: List<PlatformVm>)
