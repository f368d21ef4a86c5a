package org.anvilshed.core.ingress

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.core.ServiceName
import kotlin.time.Duration.Companion.seconds

private fun route(host: String, prefix: String) = IngressRoute(
    name = "$host$prefix",
    host = host,
    pathPrefix = prefix,
    idempotent = true,
    timeout = 1.seconds,
    latencyObjective = null,
    priority = 0,
    parts = listOf(RoutePart(ServiceName("service"), 1)),
    maximumAttempts = 1,
    sticky = false,
    homeRegions = emptySet(),
)

class RouteTableTest :
    FunSpec({
        val table = RouteTable(
            listOf(route("one.example", "/a/"), route("one.example", "/a/b/"), route("two.example", "/")),
        )

        test("the longest matching prefix is chosen, so that requests of a nested route do not go to the outer route") {
            table.findOrNull("one.example", "/a/b/c")?.pathPrefix shouldBe "/a/b/"
            table.findOrNull("one.example", "/a/bc")?.pathPrefix shouldBe "/a/"
            table.findOrNull("one.example", "/a/b")?.pathPrefix shouldBe "/a/"
        }

        test("no route is found for a path without a matching prefix or for an unknown host") {
            table.findOrNull("one.example", "/b/") shouldBe null
            table.findOrNull("one.example", "/a") shouldBe null
            table.findOrNull("three.example", "/a/") shouldBe null
        }

        test("the host is matched without its port, without the dot of the root domain and without regard to case") {
            table.findOrNull("TWO.example:8080", "/x")?.host shouldBe "two.example"
            table.findOrNull("two.example.", "/x")?.host shouldBe "two.example"
            table.findOrNull("two.example.:80", "/x")?.host shouldBe "two.example"
        }
    })
