package org.anvilshed.gateway.peers

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.serialization.ExperimentalSerializationApi
import java.util.HexFormat

private val announcement = Announcement(
    name = "nbo-a-1",
    startedAtMillis = 1_000,
    zone = "nbo-a",
    callers = "127.0.0.1:1",
    control = "127.0.0.1:2",
    acceptsCallers = true,
    sequence = 7,
    revisions = listOf(8, 9),
    occupiedSlots = mapOf(10 to 11),
    peers = listOf("127.0.0.3"),
)

/** The datagram of [announcement] in hexadecimal digits, written by a build from before the renaming. */
private const val DATAGRAM =
    "bf00676e626f2d612d31011903e802656e626f2d61036b3132372e302e302e313a31046b3132372e302e302e313a3205f50607" +
        "079f0809ff08bf0a0bff099f693132372e302e302e33ffff"

class AnnouncementOuterNamesTest :
    FunSpec({
        test("an older build could not read this build's announcement with other labels or another order") {
            HexFormat.of().formatHex(announcement.encode()) shouldBe DATAGRAM
            Announcement.decodeOrNull(HexFormat.of().parseHex(DATAGRAM)) shouldBe announcement
        }

        @OptIn(ExperimentalSerializationApi::class)
        test("an older build could not read this build's announcement without a field that it requires") {
            val descriptor = Announcement.serializer().descriptor
            (0 until descriptor.elementsCount).filter { descriptor.isElementOptional(it) }.shouldBeEmpty()
        }
    })
