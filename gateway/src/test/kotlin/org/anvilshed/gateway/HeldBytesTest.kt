package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer
import kotlin.random.Random

class HeldBytesTest :
    FunSpec({
        test("parts and the whole contain the appended bytes in order") {
            val random = Random(7)
            repeat(50) {
                val held = HeldBytes(MemoryBudget(Long.MAX_VALUE).newReservation())
                val expected = Buffer.buffer()
                repeat(random.nextInt(1, 60)) {
                    val chunk = Buffer.buffer(random.nextBytes(random.nextInt(0, 40_000)))
                    held.tryAppend(chunk) shouldBe true
                    expected.appendBuffer(chunk)
                }
                held.length shouldBe expected.length()
                held.parts.fold(Buffer.buffer()) { whole, part -> whole.appendBuffer(part) } shouldBe expected
                held.toBuffer() shouldBe expected
            }
        }

        test("bytes beyond the budget are not held, and those before stay") {
            val held = HeldBytes(MemoryBudget(20_000).newReservation())
            held.tryAppend(Buffer.buffer("x".repeat(1_000))) shouldBe true
            held.tryAppend(Buffer.buffer("y".repeat(10_000))) shouldBe true
            held.tryAppend(Buffer.buffer("z".repeat(20_000))) shouldBe false
            held.toBuffer().toString() shouldBe "x".repeat(1_000) + "y".repeat(10_000)
        }

        // Guards against chunks of one byte, each of which would cost an object that nothing counts.
        test("many tiny chunks share blocks") {
            val held = HeldBytes(MemoryBudget(Long.MAX_VALUE).newReservation())
            repeat(100_000) { held.tryAppend(Buffer.buffer("x")) }
            held.parts.size shouldBe 8
        }
    })
