package org.anvilshed.standins

import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import java.net.http.HttpResponse

internal fun callsTo(port: Int): HttpCalls = HttpCalls("http://127.0.0.1:$port")

internal fun singleLoopVertx(): Vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))

internal fun HttpResponse<String>.objectVersion(): Long = headers().firstValueAsLong("Object-Version").orElse(-1)
