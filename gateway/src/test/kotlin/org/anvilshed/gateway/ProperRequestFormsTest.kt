package org.anvilshed.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.vertx.core.json.JsonObject
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.GatewayTestbed.Companion.await
import org.anvilshed.gateway.testbed.InMemoryStore
import org.anvilshed.gateway.testbed.ReceivedRequest
import org.anvilshed.gateway.testbed.ScriptedTarget
import org.anvilshed.gateway.testbed.withTargets
import java.net.Socket

/** Limits of the config of the testbed. */
private const val MAXIMUM_HEADER_BYTES = 16_384
private const val MAXIMUM_BODY_BYTES = 65_536
private const val IDLE_TIMEOUT_MILLIS = 3_000L
private const val HEADER_TIMEOUT_MILLIS = 500L

private fun respondWithId(request: ReceivedRequest, socket: Socket) =
    ScriptedTarget.respond(socket, request, body = request.id)

private fun get(
    id: String = "0",
    target: String = "/safe/",
    version: String = "HTTP/1.1",
    host: String = "Host: test.example\r\n",
    headers: String = "",
) = "GET $target $version\r\n${host}X-Id: $id\r\n$headers\r\n"

private fun chunks(body: String, size: Int, extension: String = "", trailers: String = ""): String =
    body.chunked(size).joinToString("") { "${it.length.toString(radix = 16)}$extension\r\n$it\r\n" } +
        "0$extension\r\n$trailers\r\n"

private fun post(id: String, framing: String, body: String) =
    "POST /once/ HTTP/1.1\r\nHost: test.example\r\nX-Id: $id\r\n$framing\r\n\r\n$body"

/** Checks that each of [forms], by its description, is served on a connection of its own and on one that is kept. */
private fun shouldServe(testbed: GatewayTestbed, forms: Map<String, String>) {
    val refused = forms.mapNotNull { (name, text) ->
        val response = testbed.raw(text)
        "$name: ${response.status} ${response.body}".takeUnless { response.status == 200 && response.body == "0" }
    }
    refused shouldContainExactly emptyList()
    testbed.connect().use { socket ->
        for ((name, text) in forms) {
            withClue(name) {
                ScriptedTarget.write(socket, get("before") + text)
                testbed.readResponse(socket).body shouldBe "before"
                testbed.readResponse(socket).body shouldBe "0"
            }
        }
    }
}

/** Forms in which a caller may send a proper request; none may get a 3xx or 4xx of the gateway. */
class ProperRequestFormsTest :
    FunSpec({
        test("a request is served wherever its head and its body are cut into segments") {
            withTargets(::respondWithId) { testbed, _ ->
                val whole = post("0", "Content-Length: 4\r\nX-Deadline: 2000", "body")
                val chunked = post("1", "Transfer-Encoding: chunked", chunks("body", 2, ";a=b", "X-Trailer: t\r\n"))
                testbed.connect().use { socket ->
                    socket.tcpNoDelay = true
                    for ((id, text) in listOf("0" to whole, "1" to chunked)) {
                        for (cut in 1 until text.length) {
                            ScriptedTarget.write(socket, text.take(cut))
                            Thread.sleep(2)
                            ScriptedTarget.write(socket, text.drop(cut))
                            val response = testbed.readResponse(socket)
                            withClue("$id cut at $cut: ${response.body}") { response.body shouldBe id }
                        }
                        for (byte in text) {
                            ScriptedTarget.write(socket, byte.toString())
                            Thread.sleep(1)
                        }
                        testbed.readResponse(socket).body shouldBe id
                    }
                }
            }
        }

        test("a request is served whatever the form of its host and of the fields around it") {
            withTargets(::respondWithId) { testbed, _ ->
                shouldServe(
                    testbed,
                    mapOf(
                        "port" to get(host = "Host: test.example:8080\r\n"),
                        "capitals" to get(host = "HOST: TEST.Example\r\n"),
                        "no space" to get(host = "host:test.example\r\n"),
                        "tabs and spaces" to get(host = "Host: \t test.example \t \r\n"),
                        "trailing dot" to get(host = "Host: test.example.\r\n"),
                        "trailing dot and port" to get(host = "Host: test.example.:80\r\n"),
                        "name in capitals" to get().replace("X-Id", "x-ID"),
                        "empty value" to get(headers = "X-Empty:\r\n"),
                        "value in UTF-8" to get(headers = "X-Name: \u00e9\u4e16\r\n"),
                        "all token characters" to get(headers = "!#$%&'*+-.^_`|~09aZ: v\r\n"),
                        "folded value" to get(headers = "X-Folded: one\r\n two\r\n\tthree\r\n"),
                        "field twice" to get(headers = "X-Field: 1\r\nX-Field: 2\r\n"),
                        "connection" to get(headers = "Connection: Keep-Alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\n"),
                        "upgrade" to get(headers = "Connection: Upgrade\r\nUpgrade: h2c\r\n"),
                        "length of no body" to get(headers = "Content-Length: 0\r\n"),
                        "secrets" to get(headers = "Authorization: Basic QQ==\r\nCookie: a=b; c=\"d\"\r\n"),
                        "many fields" to get(headers = (1..600).joinToString("") { "X-Field-$it: value\r\n" }),
                        "empty lines before" to "\r\n\r\n" + get(),
                    ),
                )
            }
        }

        test("a request is served whatever the form of its target, which reaches the server as it was sent") {
            withTargets(::respondWithId) { testbed, (target) ->
                val targets = listOf(
                    "/safe/?",
                    "/safe/?a=/../&b=?",
                    "/safe/%2F%2e%2e/%00%ff",
                    "/safe//a//",
                    "/safe/../safe/./",
                    "/safe/a;b=c,d:e@f!$&'()*+=~",
                    "/safe/?q=[]|{}^`\"<>\\",
                    "/safe/" + "a".repeat(8_000),
                )
                shouldServe(testbed, targets.associateWith { get(target = it) })
                target.received.map { it.line.split(' ')[1] }.toSet() shouldBe (targets + "/safe/").toSet()
            }
        }

        // Guards against a 404 for a request whose host only its target states.
        test("a request with an absolute URI is served, and its target gets the path") {
            withTargets(::respondWithId) { testbed, (target) ->
                shouldServe(
                    testbed,
                    mapOf(
                        "absolute" to get(target = "http://test.example/safe/a?b=c"),
                        "port and capitals" to get(target = "HTTP://TEST.example:80/safe/a?b=c"),
                        "no Host" to get(target = "http://test.example/safe/a?b=c", host = ""),
                        "empty Host" to get(target = "http://test.example/safe/a?b=c", host = "Host:\r\n"),
                    ),
                )
                target.received.map { it.line }.toSet() shouldBe
                    setOf("GET /safe/a?b=c HTTP/1.1", "GET /safe/ HTTP/1.1")
            }
        }

        // Guards against a 400 for a time limit that is no whole number or a very large one.
        test("a time limit is read whatever its form, and one that has passed is a promise that nothing has run") {
            withTargets(::respondWithId) { testbed, (target) ->
                val limits = listOf(
                    "2000",
                    "  2000\t",
                    "02000",
                    "2000.0",
                    "1999.75",
                    "2000.",
                    "9223372036854775808",
                    "9".repeat(400),
                )
                shouldServe(testbed, limits.associateWith { get(headers = "X-Deadline: $it\r\n") })
                val sent = target.received.map { it.headers.getValue("x-deadline").toInt() }
                sent.filter { it > 2_000 } shouldContainExactly emptyList()
                val count = target.received.size
                for (limit in listOf("0", "0.0", "-1")) {
                    withClue(limit) { testbed.raw(get(headers = "X-Deadline: $limit\r\n")).status shouldBe 408 }
                }
                for (limit in listOf("soon", "1e3", "0x10", "1 000", "NaN")) {
                    withClue(limit) { testbed.raw(get(headers = "X-Deadline: $limit\r\n")).status shouldBe 400 }
                }
                target.received.size shouldBe count
            }
        }

        // Guards against a 431 for a head within the limit whose fields have no space behind the colon.
        test("a head of exactly the allowed size is served, and a longer one is refused") {
            withTargets(::respondWithId) { testbed, _ ->
                fun head(size: Int, field: (Int) -> String): String {
                    val fields = (1..100).joinToString("", transform = field)
                    val filler = size - get(headers = fields + "X-Filler: \r\n").length
                    return get(headers = fields + "X-Filler: ${"x".repeat(filler)}\r\n")
                }
                shouldServe(
                    testbed,
                    mapOf(
                        "spaces" to head(MAXIMUM_HEADER_BYTES) { "X-Field-$it: value\r\n" },
                        "no spaces" to head(MAXIMUM_HEADER_BYTES) { "X-Field-$it:value\r\n" },
                        "empty values" to head(MAXIMUM_HEADER_BYTES) { "X-Field-$it:\r\n" },
                    ),
                )
                testbed.raw(head(MAXIMUM_HEADER_BYTES + 1_000) { "X-Field-$it: value\r\n" }).status shouldBe 431
            }
        }

        test("a body of exactly the allowed size is served, with a length and in chunks, and a longer one is refused") {
            withTargets(::respondWithId) { testbed, (target) ->
                val body = "x".repeat(MAXIMUM_BODY_BYTES)
                val chunked = "Transfer-Encoding: chunked"
                shouldServe(
                    testbed,
                    mapOf(
                        "length" to post("0", "Content-Length: ${body.length}", body),
                        "one chunk" to post("0", chunked, chunks(body, body.length)),
                        "small chunks" to post("0", chunked, chunks(body, 10)),
                        "extensions" to post("0", chunked, chunks(body, 5_000, ";name=value;other=\"a b\"")),
                        "trailers" to post("0", chunked, chunks(body, 5_000, trailers = "X-A: 1\r\nX-B: 2\r\n")),
                        "encoding in capitals" to post("0", "TRANSFER-ENCODING: Chunked", chunks(body, 5_000)),
                        "capitals and leading zeros" to
                            post("0", chunked, "000A\r\n0123456789\r\n00\r\n\r\n"),
                        "empty" to post("0", chunked, chunks("", 1)),
                    ),
                )
                target.received.filter { it.id == "0" }.groupBy { it.body.length }.mapValues { it.value.size } shouldBe
                    mapOf(MAXIMUM_BODY_BYTES to 12, 10 to 2, 0 to 2)
                testbed.raw(post("0", chunked, chunks(body + "x", 5_000))).status shouldBe 413
            }
        }

        test("requests that are sent ahead behind bodies of each form are served") {
            withTargets(::respondWithId) { testbed, _ ->
                testbed.connect().use { socket ->
                    val chunked = "Transfer-Encoding: chunked"
                    val ahead = post("1", "Content-Length: 3", "abc") + get("2") +
                        post("3", chunked, chunks("abc", 1, ";a", "X-A: 1\r\n")) + "\r\n" + get("4") +
                        post("5", "Content-Length: 4\r\nExpect: 100-continue", "body") + get("6")
                    ScriptedTarget.write(socket, ahead)
                    val responses = generateSequence { testbed.readResponse(socket) }.filter { it.status != 100 }
                    responses.take(6).map { it.body }.toList() shouldContainExactly listOf("1", "2", "3", "4", "5", "6")
                }
            }
        }

        test("a caller that expects an interim response is served if it waits for it and if it does not") {
            withTargets(::respondWithId) { testbed, _ ->
                testbed.connect().use { socket ->
                    for (framing in listOf("Content-Length: 4", "Transfer-Encoding: chunked")) {
                        val body = if ("Length" in framing) "body" else chunks("body", 3)
                        val request = post("0", "$framing\r\nExpect: 100-Continue", "")
                        ScriptedTarget.write(socket, request)
                        testbed.readResponse(socket).status shouldBe 100
                        ScriptedTarget.write(socket, body)
                        testbed.readResponse(socket).body shouldBe "0"
                        ScriptedTarget.write(socket, request + body)
                        val first = testbed.readResponse(socket)
                        (if (first.status == 100) testbed.readResponse(socket) else first).body shouldBe "0"
                    }
                }
            }
        }

        test("requests of HTTP/1.0 are served") {
            withTargets(::respondWithId) { testbed, _ ->
                testbed.raw(get(version = "HTTP/1.0")).body shouldBe "0"
                testbed.raw(get(version = "HTTP/1.0", headers = "Connection: keep-alive\r\n")).body shouldBe "0"
            }
        }

        // Guards against empty lines behind a request that count as the beginning of the next one.
        test("a connection is served after four fifths of the idle timeout, also with empty lines behind a request") {
            withTargets(::respondWithId) { testbed, _ ->
                for (behind in listOf("", "\r\n", "\r\n\r\n")) {
                    testbed.connect().use { socket ->
                        ScriptedTarget.write(socket, get("1") + behind)
                        testbed.readResponse(socket).body shouldBe "1"
                        Thread.sleep(IDLE_TIMEOUT_MILLIS * 4 / 5)
                        withClue("${behind.length} bytes behind") {
                            ScriptedTarget.write(socket, get("2"))
                            testbed.readResponse(socket).body shouldBe "2"
                        }
                    }
                }
            }
        }

        test("a head that takes four fifths of its time limit at the end of the idle time is served") {
            withTargets(::respondWithId) { testbed, _ ->
                testbed.connect().use { socket ->
                    ScriptedTarget.write(socket, get("1"))
                    testbed.readResponse(socket).body shouldBe "1"
                    Thread.sleep(IDLE_TIMEOUT_MILLIS * 4 / 5)
                    ScriptedTarget.write(socket, get("2").take(20))
                    Thread.sleep(HEADER_TIMEOUT_MILLIS * 4 / 5)
                    ScriptedTarget.write(socket, get("2").drop(20))
                    testbed.readResponse(socket).body shouldBe "2"
                }
            }
        }

        test("no request on a route of every config gets 404 while configs change, can't be read or are restored") {
            withTargets(::respondWithId) { testbed, _ ->
                var version = 1L
                var calls = 0
                val statuses = HashMap<Int, Int>()
                fun callFor(millis: Long) {
                    val end = System.nanoTime() + millis * 1_000_000
                    while (System.nanoTime() <
                        end
                    ) {
                        statuses.merge(testbed.call("/safe/", "${calls++}").status, 1, Int::plus)
                    }
                }
                repeat(3) {
                    testbed.config(++version)
                    callFor(200)
                    testbed.store.set(StoreKind.CONFIG, "main", JsonObject().put("version", null))
                    callFor(300)
                }
                testbed.store.remove(StoreKind.CONFIG, "main")
                callFor(500)
                testbed.config(++version)
                callFor(300)
                statuses.keys shouldBe setOf(200)
            }
        }

        test("a VM that knows no config yet answers 503 to requests of every form, also to those it would refuse") {
            val store = InMemoryStore().apply { isDown = true }
            GatewayTestbed(store).use { testbed ->
                val forms = listOf(
                    get(),
                    get(target = "/none/"),
                    get(host = ""),
                    get(headers = "X-Deadline: soon\r\n"),
                    post("0", "Content-Length: 4", "body"),
                    post("0", "Transfer-Encoding: chunked", chunks("body", 1)),
                )
                for (form in forms) withClue(form) { testbed.raw(form).status shouldBe 503 }
                store.isDown = false
                testbed.config(1)
                await { testbed.call("/safe/").body.contains("no-target") }
            }
        }
    })
