package org.anvilshed.standins

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture

private val TIMEOUT: Duration = Duration.ofSeconds(20)

/** Plain HTTP calls to [origin] (`http://IP:port`) for the control of stand-ins and for callers in tests. */
public class HttpCalls(private val origin: String) {
    /** Starts a call; [headers] are names and values in turn. */
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

    /** Makes a call and waits for the answer; see [start]. */
    public fun call(method: String, path: String, body: String = "", vararg headers: String): HttpResponse<String> =
        start(method, path, body, *headers).get()

    private companion object {
        val CLIENT: HttpClient = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build()
    }
}
