package org.anvilshed.cli

import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import org.anvilshed.http.withStrictResponses
import org.anvilshed.wire.platform.PlatformClient
import org.anvilshed.wire.platform.VertxPlatformClient
import java.security.SecureRandom
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

private const val WRITE_ID_BYTES = 16

/** The system clock, a secure random number generator and the network. */
internal object SystemEnvironment : Environment {
    private val random = SecureRandom()

    override fun now(): Instant = Clock.System.now()

    override fun newWriteId(): String =
        ByteArray(WRITE_ID_BYTES).also(random::nextBytes).joinToString("") { "%02x".format(it) }

    override fun <T> withPlatform(
        url: String,
        clientName: String,
        timeout: Duration,
        work: suspend (PlatformClient) -> T,
    ): T = withVertx { vertx -> VertxPlatformClient(vertx, url, clientName, timeout).use { work(it) } }

    override fun get(url: String, parameters: Map<String, String>, timeout: Duration): VmResult = withVertx { vertx ->
        val options = WebClientOptions().setFollowRedirects(false)
        val client = WebClient.wrap(vertx.httpClientBuilder().with(options).withStrictResponses().build(), options)
        val request = client.getAbs(url).timeout(timeout.inWholeMilliseconds)
        parameters.forEach { (name, value) -> request.addQueryParam(name, value) }
        try {
            val response = request.send().coAwait()
            VmResult.Response(response.statusCode(), response.bodyAsString().orEmpty())
        } catch (@Suppress("TooGenericExceptionCaught") failure: Exception) {
            // For lost connections, timeouts and malformed URLs, Vert.x throws exceptions of many types.
            VmResult.Unreachable("${failure::class.simpleName}: ${failure.message}")
        }
    }

    private fun <T> withVertx(work: suspend (Vertx) -> T): T = runBlocking {
        val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))
        try {
            work(vertx)
        } finally {
            vertx.close().coAwait()
        }
    }
}
