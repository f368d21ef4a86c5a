package org.anvilshed.standins

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture

private val TIMEOUT: Duration = Duration.ofSeconds(20)

/** HTTP client for [origin] (`http://IP:port`) that controls stand-ins and plays callers in tests. */
public class HttpCalls(private val origin: String) {
    /** Starts a call; [headers] are alternating names and values. */
    public fun start(
        method: String,
        path: String,
        body: String = "",
        vararg headers: String,
    ): CompletableFuture<HttpResponse<String>> {
        val request = HttpRequest.newBuilder(URI("$origin$path"))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .timeout(TIMEOUT)
        headers.toList().chunked(2).forEach { (name, value) -> request.header(name, value) }
        return CLIENT.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    /**
     * Makes a call and waits for the response; see [start].
     *
     * @throws java.util.concurrent.ExecutionException if no response is received.
     */
    public fun call(method: String, path: String, body: String = "", vararg headers: String): HttpResponse<String> =
        start(method, path, body, *headers).get()

    private companion object {
        val CLIENT: HttpClient = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build()
    }
}
