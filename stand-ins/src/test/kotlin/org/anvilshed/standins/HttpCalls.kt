package org.anvilshed.standins

import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture

internal class HttpCalls(private val port: Int) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    fun start(
        method: String,
        path: String,
        body: String = "",
        vararg headers: String,
    ): CompletableFuture<HttpResponse<String>> {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path"))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .timeout(Duration.ofSeconds(20))
        headers.toList().chunked(2).forEach { (name, value) -> request.header(name, value) }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    fun call(method: String, path: String, body: String = "", vararg headers: String): HttpResponse<String> =
        start(method, path, body, *headers).get()
}

internal fun singleLoopVertx(): Vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))

internal fun HttpResponse<String>.objectVersion(): Long = headers().firstValueAsLong("Object-Version").orElse(-1)
