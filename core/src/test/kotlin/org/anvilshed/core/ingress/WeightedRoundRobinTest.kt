package org.anvilshed.core.ingress

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.core.ServiceName

class WeightedRoundRobinTest :
    FunSpec({
        test("each part gets exactly its weight in every run as long as the sum of the weights") {
            val large = ServiceName("large")
            val small = ServiceName("small")
            val rotation = WeightedRoundRobin(listOf(RoutePart(large, 90), RoutePart(small, 10)))
            repeat(3) {
                val services = List(100) { rotation.next() }
                services.count { it == small } shouldBe 10
                services.chunked(20).forEach { part -> part.count { it == small } shouldBe 2 }
            }
        }
    })
