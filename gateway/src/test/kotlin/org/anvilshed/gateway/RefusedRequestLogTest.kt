package org.anvilshed.gateway

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.anvilshed.gateway.testbed.GatewayTestbed.Companion.await
import org.anvilshed.gateway.testbed.ScriptedTarget
import org.anvilshed.gateway.testbed.withTargets
import org.slf4j.LoggerFactory

class RefusedRequestLogTest :
    FunSpec({
        // Guards against a refusal of a proper request whose bytes are nowhere to be seen.
        test("a request that is refused leaves a sample of what was refused in the log") {
            val logger = LoggerFactory.getLogger("anvilshed") as Logger
            val level = logger.level
            val appender = ListAppender<ILoggingEvent>().apply { start() }
            logger.level = Level.INFO
            logger.addAppender(appender)
            try {
                withTargets({ request, socket -> ScriptedTarget.respond(socket, request) }) { testbed, _ ->
                    val host = "Host: test.example\r\n"
                    val cases = listOf(
                        "GET /safe/ HTTP/1.1\r\n${host}X-Id: 1\r\nAuthorization: secret\r\nA b: c\r\n\r\n" to "A b: c",
                        "GET /safe/ HTTP/1.1\r\n${host}X-Id: 1\r\nAuthorization : secret\r\n\r\n" to "(not shown)",
                        "GET /safe/ HTTP/1.1\r\n${host}Authorization: secret\r\n\r\n" to "Authorization",
                        "GET /safe/ HTTP/1.1\r\n${host}X-Id: 1\r\nX-Deadline: soon\r\n\r\n" to "soon",
                        "GET /safe/ HTTP/1.1\r\n${host}X-Id: 1\r\nX-Long: ${"x".repeat(17_000)}\r\n\r\n" to
                            "17000 in X-Long",
                        "GET /none/?secret HTTP/1.1\r\n${host}X-Id: 1\r\n\r\n" to "test.example /none/",
                        "POST /safe/ HTTP/1.1\r\n${host}X-Id: 1\r\nContent-Length: 70000\r\n\r\n" to "70000",
                    )
                    for ((text, sample) in cases) {
                        appender.list.clear()
                        testbed.raw(text).status shouldBe testbed.raw(text).status
                        fun replies() = appender.list.toList().filter { it.message == "reply" }
                        await { replies().size == 2 }
                        val refused = replies().first().keyValuePairs.single { it.key == "refused" }.value.toString()
                        withClue(text.take(100)) { refused shouldContain sample }
                        refused shouldNotContain "secret"
                    }
                }
            } finally {
                logger.detachAppender(appender)
                logger.level = level
            }
        }
    })
