package org.anvilshed.gateway.store

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.vertx.core.json.JsonObject
import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val START = MonotonicTime(0)

private val HOLD_TIME = 6.seconds

private fun item(
    era: Long,
    number: Long,
    sequence: Long?,
    name: String = "a",
    lifetime: Long = 1,
    draining: Boolean = false,
) = StoreObject(
    name,
    StoreRevision(era, number),
    JsonObject().put("lifetime", lifetime).put("sequence", sequence).put("draining", draining),
)

private fun listing(era: Long, number: Long, vararg items: StoreObject) =
    StoreListing(items.toList(), StoreRevision(era, number))

private fun versionOf(stored: StoreObject): ContentVersion? = stored.content?.getLong("sequence")?.let {
    ContentVersion(stored.content.getLong("lifetime"), it, stored.content.getBoolean("draining", false))
}

private fun known(keepsLost: Boolean = false) = KnownObjects(keepsLost, { HOLD_TIME }, ::versionOf)

private fun KnownObjects.list(listing: StoreListing, now: MonotonicTime = START, mayHaveExpired: Boolean = false) =
    replaceAll(listing, mayHaveExpired, now)

private fun KnownObjects.write(item: StoreObject, now: MonotonicTime = START) =
    apply(StoreEvent(item, removed = false), mayHaveExpired = false, now)

private fun KnownObjects.remove(item: StoreObject, now: MonotonicTime = START, mayHaveExpired: Boolean = false) =
    apply(StoreEvent(item, removed = true), mayHaveExpired, now)

private fun KnownObjects.sequences(): Map<String, Long?> =
    values.associate { it.name to it.content?.getLong("sequence") }

class KnownObjectsTest :
    FunSpec({
        test(
            "a content that the restored store shows again does not replace a newer one, until a newer one is written",
        ) {
            val objects = known()
            objects.list(listing(1, 50, item(1, 48, sequence = 8)))
            objects.list(listing(2, 40, item(2, 30, sequence = 5)))
            objects.sequences() shouldBe mapOf("a" to 8L)
            objects.write(item(2, 41, sequence = 6)) shouldNotBe Reception.TAKEN
            objects.sequences() shouldBe mapOf("a" to 8L)
            objects.write(item(2, 42, sequence = 9)) shouldBe Reception.TAKEN
            objects.sequences() shouldBe mapOf("a" to 9L)
        }

        test("the same content written again belongs to the new era, and later changes follow by their versions") {
            val objects = known()
            objects.list(listing(1, 50, item(1, 48, sequence = 8)))
            objects.list(listing(2, 40))
            objects.write(item(2, 41, sequence = 8)) shouldBe Reception.TAKEN
            objects.write(item(2, 41, sequence = 8)) shouldNotBe Reception.TAKEN
            objects.write(item(2, 43, sequence = 3)) shouldBe Reception.HELD
            objects.write(item(2, 44, sequence = 9)) shouldBe Reception.TAKEN
        }

        test("an object that was removed in the lost seconds does not return, unless its owner writes it again") {
            val objects = known()
            objects.list(listing(1, 50, item(1, 48, sequence = 8)))
            objects.remove(item(1, 51, sequence = 8))
            objects.list(listing(2, 40, item(2, 30, sequence = 5)), START + 5.seconds)
            objects.sequences() shouldBe emptyMap()
            objects.write(item(2, 41, sequence = 1, lifetime = 2)) shouldBe Reception.TAKEN
            objects.sequences() shouldBe mapOf("a" to 1L)
        }

        test("an object that a listing showed as removed in the lost seconds does not return either") {
            val objects = known()
            objects.list(listing(1, 50, item(1, 48, sequence = 8)))
            objects.list(listing(1, 60))
            objects.list(listing(2, 40, item(2, 30, sequence = 8)), START + 5.seconds)
            objects.sequences() shouldBe emptyMap()
        }

        test("lost objects are dropped or kept as their kind asks for") {
            for (keepsLost in listOf(false, true)) {
                val objects = known(keepsLost)
                objects.list(listing(1, 50, item(1, 48, sequence = 8)))
                objects.list(listing(2, 40))
                objects.sequences().isNotEmpty() shouldBe keepsLost
                // Not lost: removed by its writer.
                objects.list(listing(2, 41, item(2, 41, sequence = 9)))
                objects.list(listing(2, 42))
                objects.sequences() shouldBe emptyMap()
            }
        }

        test("contents without a version are taken from the later era") {
            val objects = known()
            val plain = StoreObject("a", StoreRevision(1, 48), JsonObject().put("text", "first"))
            objects.list(listing(1, 50, plain))
            val restored = StoreObject("a", StoreRevision(2, 30), JsonObject().put("text", "second"))
            objects.list(listing(2, 40, restored))
            objects.values.single() shouldBe restored
        }

        test("a peer's copy of an earlier era replaces a content only if its own is newer") {
            val objects = known()
            objects.list(listing(2, 40, item(2, 30, sequence = 5)))
            objects.takeNewerContent(item(1, 70, sequence = 5)) shouldBe false
            objects.takeNewerContent(item(1, 70, sequence = 6)) shouldBe true
            objects.sequences() shouldBe mapOf("a" to 6L)
        }

        // Guards against requests to a target that leaves, after the store performed an older report of it.
        test(
            "a report that the store performs late does not undo a later one, by events, listings or copies of peers",
        ) {
            val late = item(1, 60, sequence = 5)
            for (draining in listOf(true, false)) {
                for (deliver in listOf<KnownObjects.() -> Unit>({ write(late) }, { list(listing(1, 60, late)) })) {
                    val objects = known()
                    objects.write(item(1, 50, sequence = 4))
                    objects.write(item(1, 55, sequence = 8, draining = draining))
                    objects.deliver()
                    objects.sequences() shouldBe mapOf("a" to 8L)
                    objects.takeHeld(START + 5.seconds) shouldBe emptyList()
                    objects.write(item(1, 65, sequence = 9, draining = draining)) shouldBe Reception.TAKEN
                    objects.takeHeld(START + 90.seconds) shouldBe emptyList()
                    objects.sequences() shouldBe mapOf("a" to 9L)
                }
            }
        }

        test("a later report takes effect although an earlier one arrived first with a higher revision") {
            val objects = known()
            objects.list(listing(1, 60, item(1, 60, sequence = 5)))
            objects.write(item(1, 55, sequence = 8, draining = true)) shouldBe Reception.TAKEN
            objects.sequences() shouldBe mapOf("a" to 8L)
        }

        test("draining is never undone within a lifetime, and always taken, whatever its sequence is") {
            val objects = known()
            objects.write(item(1, 50, sequence = 4))
            objects.write(item(1, 51, sequence = 1_000_000))
            objects.write(item(1, 52, sequence = 5, draining = true)) shouldBe Reception.TAKEN
            for ((index, sequence) in listOf(4L, 6L, 1_000_000L, 2_000_000L, null).withIndex()) {
                objects.write(item(1, 53L + index, sequence)) shouldNotBe Reception.TAKEN
            }
            objects.list(listing(1, 70, item(1, 69, sequence = 2_000_001)))
            objects.sequences() shouldBe mapOf("a" to 5L)
            objects.remove(item(1, 71, sequence = 5))
            objects.write(item(1, 72, sequence = 6)) shouldBe Reception.DROPPED
            objects.write(item(1, 73, sequence = 1, lifetime = 2)) shouldBe Reception.TAKEN
        }

        // Guards against a copy of an entry with an invented sequence, which no report of the target itself reaches.
        test("a sequence that another writer invented shuts the target's own reports out only for the time of a hold") {
            val objects = known()
            objects.write(item(1, 50, sequence = 4))
            objects.write(item(1, 51, sequence = Long.MAX_VALUE))
            objects.write(item(1, 52, sequence = 5), START + 1.seconds) shouldBe Reception.HELD
            objects.write(item(1, 53, sequence = 7), START + 4.seconds) shouldBe Reception.HELD
            objects.takeHeld(START + 6.seconds) shouldBe emptyList()
            objects.takeHeld(START + 7.seconds).size shouldBe 1
            objects.sequences() shouldBe mapOf("a" to 7L)
            objects.write(item(1, 54, sequence = 8), START + 8.seconds) shouldBe Reception.TAKEN
        }

        // Guards against requests to the former address of a name, which may belong to another service.
        test("a late report of a former process does not replace the entry of the new one") {
            val objects = known()
            objects.write(item(1, 50, sequence = 30, lifetime = 1))
            objects.write(item(1, 55, sequence = 1, lifetime = 2)) shouldBe Reception.TAKEN
            objects.write(item(1, 60, sequence = 31, lifetime = 1)) shouldBe Reception.HELD
            objects.sequences() shouldBe mapOf("a" to 1L)
            objects.write(item(1, 61, sequence = 2, lifetime = 2)) shouldBe Reception.TAKEN
            objects.takeHeld(START + 90.seconds) shouldBe emptyList()
        }

        test(
            "a new process whose clock was set back is used once nobody has replaced its entry for the time of a hold",
        ) {
            for (isRemoved in listOf(false, true)) {
                val objects = known()
                objects.write(item(1, 50, sequence = 30, lifetime = 9))
                if (isRemoved) objects.remove(item(1, 52, sequence = 30, lifetime = 9))
                objects.write(item(1, 55, sequence = 1, lifetime = 2)) shouldBe Reception.HELD
                objects.list(listing(1, 57, item(1, 55, sequence = 1, lifetime = 2)), START + 3.seconds)
                objects.takeHeld(START + HOLD_TIME).size shouldBe 1
                objects.write(item(1, 60, sequence = 2, lifetime = 2), START + 7.seconds) shouldBe Reception.TAKEN
            }
        }

        // Guards against requests to a target that left without draining, after the store performed an older report.
        test("a report that is performed after the removal of its entry does not bring the target back") {
            for (sequence in listOf(3L, 4L, 25L)) {
                for (isListed in listOf(false, true)) {
                    val objects = known()
                    objects.write(item(1, 50, sequence = 4))
                    objects.remove(item(1, 55, sequence = 4))
                    val late = item(1, 60, sequence)
                    if (isListed) objects.list(listing(1, 60, late)) else objects.write(late)
                    objects.sequences() shouldBe emptyMap()
                    objects.takeHeld(START + 5.seconds) shouldBe emptyList()
                    objects.remove(item(1, 65, sequence), START + 5.seconds)
                    objects.takeHeld(START + 50.seconds) shouldBe emptyList()
                }
            }
        }

        // Guards against the end of a lifetime that is held and then replaced by a late report.
        test("draining is final also after the removal of its entry, and while another lifetime is in effect") {
            for (isRemoved in listOf(true, false)) {
                val objects = known()
                objects.write(item(1, 50, sequence = 2, lifetime = if (isRemoved) 1 else 2))
                if (isRemoved) objects.remove(item(1, 51, sequence = 2))
                objects.write(item(1, 52, sequence = 11))
                objects.write(item(1, 53, sequence = 12, draining = true))
                objects.write(item(1, 54, sequence = 9)) shouldBe Reception.DROPPED
                objects.write(item(1, 55, sequence = 13)) shouldBe Reception.DROPPED
                objects.takeHeld(START + 90.seconds)
                objects.values.none { versionOf(it)?.lifetime == 1L && versionOf(it)?.endsLifetime == false } shouldBe
                    true
            }
        }

        test("an entry that may have expired in an outage is back with the next report, any other one after a hold") {
            for (mayHaveExpired in listOf(true, false)) {
                val objects = known()
                objects.write(item(1, 50, sequence = 4))
                objects.remove(item(1, 55, sequence = 4), mayHaveExpired = mayHaveExpired)
                val reception = objects.write(item(1, 60, sequence = 9), START + 2.seconds)
                reception shouldBe if (mayHaveExpired) Reception.TAKEN else Reception.HELD
                objects.takeHeld(START + 12.seconds).size shouldBe 0
                // The longest delay of a write, and the time of a hold.
                objects.takeHeld(START + 13.seconds).size shouldBe if (mayHaveExpired) 0 else 1
                objects.sequences() shouldBe mapOf("a" to 9L)
            }
        }

        test("an entry that returns long after its removal is no late write") {
            val objects = known()
            objects.write(item(1, 50, sequence = 4))
            objects.remove(item(1, 55, sequence = 4))
            objects.write(item(1, 60, sequence = 9), START + 7.seconds) shouldBe Reception.TAKEN
        }

        test("a copy of a peer passes on what the peer holds, so that it takes effect at both") {
            val objects = known()
            objects.write(item(1, 50, sequence = 30, lifetime = 9))
            objects.write(item(1, 55, sequence = 1, lifetime = 2))
            val other = known()
            other.list(StoreListing(objects.contents, StoreRevision(1, 55)))
            other.sequences() shouldBe mapOf("a" to 30L)
            other.takeHeld(START + HOLD_TIME)
            other.sequences() shouldBe mapOf("a" to 1L)
        }

        test("an older config is dropped for good") {
            val objects = KnownObjects(keepsLost = true, { Duration.INFINITE }, ::versionOf)
            objects.write(item(1, 50, sequence = 12, lifetime = 0))
            objects.write(item(1, 60, sequence = 11, lifetime = 0)) shouldBe Reception.DROPPED
            objects.contents.map { it.content?.getLong("sequence") } shouldBe listOf(12L)
        }
    })
