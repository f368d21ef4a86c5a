package org.anvilshed.core.ingress

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.core.ServiceName

class WeightedRoundRobinTest :
    FunSpec({
        test("in every sequence as long as the sum of the weights, each part gets exactly its weight in requests") {
            val large = ServiceName("large")
            val small = ServiceName("small")
            val roundRobin = WeightedRoundRobin(listOf(RoutePart(large, 90), RoutePart(small, 10)))
            repeat(3) {
                val services = List(100) { roundRobin.next() }
                services.count { it == small } shouldBe 10
                services.chunked(20).forEach { part -> part.count { it == small } shouldBe 2 }
            }
        }
    })
