package org.anvilshed.gateway.store

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.json.JsonObject
import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration.Companion.seconds

private val START = MonotonicTime(0)

private fun item(era: Long, number: Long, sequence: Long, name: String = "a", lifetime: Long = 1) =
    StoreObject(name, StoreRevision(era, number), JsonObject().put("lifetime", lifetime).put("sequence", sequence))

private fun listing(era: Long, number: Long, vararg items: StoreObject) =
    StoreListing(items.toList(), StoreRevision(era, number))

private fun known(keepsLost: Boolean = false) = KnownObjects(keepsLost) { stored ->
    val sequence = stored.content?.getLong("sequence")
    sequence?.let { ContentVersion(stored.content.getLong("lifetime"), it) }
}

private fun KnownObjects.sequences(): Map<String, Long?> =
    values.associate { it.name to it.content?.getLong("sequence") }

class KnownObjectsTest :
    FunSpec({
        test(
            "a content that the restored store shows again does not replace a newer one, until a newer one is written",
        ) {
            val objects = known()
            objects.replaceAll(listing(1, 50, item(1, 48, sequence = 8)), START)
            objects.replaceAll(listing(2, 40, item(2, 30, sequence = 5)), START)
            objects.sequences() shouldBe mapOf("a" to 8L)
            objects.apply(StoreEvent(item(2, 41, sequence = 6), removed = false), START) shouldBe false
            objects.sequences() shouldBe mapOf("a" to 8L)
            objects.apply(StoreEvent(item(2, 42, sequence = 9), removed = false), START) shouldBe true
            objects.sequences() shouldBe mapOf("a" to 9L)
        }

        test("the same content written again belongs to the new era, and later changes follow by their revisions") {
            val objects = known()
            objects.replaceAll(listing(1, 50, item(1, 48, sequence = 8)), START)
            objects.replaceAll(listing(2, 40), START)
            objects.apply(StoreEvent(item(2, 41, sequence = 8), removed = false), START) shouldBe true
            objects.apply(StoreEvent(item(2, 41, sequence = 8), removed = false), START) shouldBe false
            objects.apply(StoreEvent(item(2, 43, sequence = 3), removed = false), START) shouldBe true
        }

        test("an object that was removed in the lost seconds does not return, unless its owner writes it again") {
            val objects = known()
            objects.replaceAll(listing(1, 50, item(1, 48, sequence = 8)), START)
            objects.apply(StoreEvent(item(1, 51, sequence = 8), removed = true), START)
            objects.replaceAll(listing(2, 40, item(2, 30, sequence = 5)), START + 5.seconds)
            objects.sequences() shouldBe emptyMap()
            objects.apply(StoreEvent(item(2, 41, sequence = 1, lifetime = 2), removed = false), START) shouldBe true
            objects.sequences() shouldBe mapOf("a" to 1L)
        }

        test("an object that a listing showed as removed in the lost seconds does not return either") {
            val objects = known()
            objects.replaceAll(listing(1, 50, item(1, 48, sequence = 8)), START)
            objects.replaceAll(listing(1, 60), START)
            objects.replaceAll(listing(2, 40, item(2, 30, sequence = 8)), START + 5.seconds)
            objects.sequences() shouldBe emptyMap()
        }

        test("lost objects are dropped or kept as their kind asks for") {
            for (keepsLost in listOf(false, true)) {
                val objects = known(keepsLost)
                objects.replaceAll(listing(1, 50, item(1, 48, sequence = 8)), START)
                objects.replaceAll(listing(2, 40), START)
                objects.sequences().isNotEmpty() shouldBe keepsLost
                // Not lost: removed by its writer.
                objects.replaceAll(listing(2, 41, item(2, 41, sequence = 9)), START)
                objects.replaceAll(listing(2, 42), START)
                objects.sequences() shouldBe emptyMap()
            }
        }

        test("contents without a version are taken from the later era") {
            val objects = known()
            val plain = StoreObject("a", StoreRevision(1, 48), JsonObject().put("text", "first"))
            objects.replaceAll(listing(1, 50, plain), START)
            val restored = StoreObject("a", StoreRevision(2, 30), JsonObject().put("text", "second"))
            objects.replaceAll(listing(2, 40, restored), START)
            objects.values.single() shouldBe restored
        }

        test("a peer's copy of an earlier era replaces a content only if its own is newer") {
            val objects = known()
            objects.replaceAll(listing(2, 40, item(2, 30, sequence = 5)), START)
            objects.takeNewerContent(item(1, 70, sequence = 5)) shouldBe false
            objects.takeNewerContent(item(1, 70, sequence = 6)) shouldBe true
            objects.sequences() shouldBe mapOf("a" to 6L)
        }
    })
