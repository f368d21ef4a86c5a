package org.anvilshed.standins

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class PlaceholderTest : FunSpec({ test("placeholder") { PLACEHOLDER shouldBe 0 } })
