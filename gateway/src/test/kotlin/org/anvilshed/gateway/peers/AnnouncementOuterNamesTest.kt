package org.anvilshed.gateway.peers

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborLabel
import kotlinx.serialization.decodeFromByteArray
import java.util.HexFormat
import kotlin.time.Duration.Companion.milliseconds

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

private val REQUIRED_BY_OLDER_BUILDS = listOf(
    "name",
    "startedAtMillis",
    "zone",
    "callers",
    "control",
    "taking",
    "sequence",
    "revisions",
    "occupiedSlots",
    "peers",
)

/** Announcement as builds before the rate limits declare it. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
private data class OlderAnnouncement(
    @CborLabel(0) val name: String,
    @CborLabel(1) val startedAtMillis: Long,
    @CborLabel(2) val zone: String,
    @CborLabel(3) val callers: String,
    @CborLabel(4) val control: String,
    @CborLabel(5) @SerialName("taking") val acceptsCallers: Boolean,
    @CborLabel(6) val sequence: Long,
    @CborLabel(7) val revisions: List<Long>,
    @CborLabel(8) val occupiedSlots: Map<Int, Int>,
    @CborLabel(9) val peers: List<String>,
)

/** Checks that a build from before the rate limits decodes [bytes] and skips the fields that it does not know. */
@OptIn(ExperimentalSerializationApi::class)
private fun olderBuildShouldRead(bytes: ByteArray) {
    val older = Cbor {
        preferCborLabelsOverNames = true
        ignoreUnknownKeys = true
    }.decodeFromByteArray<OlderAnnouncement>(bytes)
    older.sequence shouldBe announcement.sequence
    older.peers shouldBe announcement.peers
}

class AnnouncementOuterNamesTest :
    FunSpec({
        test("an older build could not read this build's announcement with other labels or another order") {
            HexFormat.of().formatHex(announcement.encode()) shouldBe DATAGRAM
            Announcement.decodeOrNull(HexFormat.of().parseHex(DATAGRAM)) shouldBe announcement
        }

        @OptIn(ExperimentalSerializationApi::class)
        test("an older build could not read this build's announcement without a field that it requires") {
            val descriptor = Announcement.serializer().descriptor
            val required = (0 until descriptor.elementsCount).filterNot { descriptor.isElementOptional(it) }
            required.map { descriptor.getElementName(it) } shouldBe REQUIRED_BY_OLDER_BUILDS
        }

        test("an older build reads an announcement with rates of targets, and its own are read without them") {
            val bytes = announcement.copy(rates = listOf(AnnouncedRate(1, 460, 20, 130))).encode()
            olderBuildShouldRead(bytes)
            Announcement.decodeOrNull(bytes)?.rates shouldBe listOf(AnnouncedRate(1, 460, 20, 130))
            Announcement.decodeOrNull(HexFormat.of().parseHex(DATAGRAM))?.rates shouldBe emptyList()
        }

        test(
            "an older build reads an announcement with the age of the store's response, and its own are read without",
        ) {
            val bytes = announcement.copy(storeResponseAgeMillis = 250).encode()
            olderBuildShouldRead(bytes)
            Announcement.decodeOrNull(bytes)?.store?.responseAge shouldBe 250.milliseconds
            Announcement.decodeOrNull(HexFormat.of().parseHex(DATAGRAM))?.store?.responseAge shouldBe null
        }

        test("an older build reads an announcement with crashes and leaving targets, and its own are read without") {
            val crashes = listOf(AnnouncedCrash(1L shl 60, 5, 200, 50), AnnouncedCrash(2, null, 10, 0))
            val bytes = announcement.copy(crashes = crashes, leaving = listOf(9)).encode()
            olderBuildShouldRead(bytes)
            Announcement.decodeOrNull(bytes)?.crashes shouldBe crashes
            Announcement.decodeOrNull(bytes)?.leaving shouldBe listOf(9)
            Announcement.decodeOrNull(HexFormat.of().parseHex(DATAGRAM))?.crashes shouldBe emptyList()
        }
    })
