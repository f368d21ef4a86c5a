package org.anvilshed.benchmark

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class PlaceholderTest : FunSpec({ test("placeholder") { PLACEHOLDER shouldBe 0 } })
