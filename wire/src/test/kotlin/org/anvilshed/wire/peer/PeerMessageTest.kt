package org.anvilshed.wire.peer

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.ktor.utils.io.ByteReadChannel
import org.anvilshed.core.Incarnation
import org.anvilshed.core.KindName
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.TargetName
import org.anvilshed.core.UnknownReason
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import org.anvilshed.core.bundle.ActivationRecord
import org.anvilshed.core.bundle.BinaryData
import org.anvilshed.core.bundle.BundleDigest
import org.anvilshed.core.bundle.MAXIMUM_BUNDLE_BYTES
import org.anvilshed.core.bundle.SignOff
import org.anvilshed.core.bundle.SignedBundle
import org.anvilshed.core.membership.AdvertisedBundle
import org.anvilshed.core.membership.PeerContact
import java.nio.ByteBuffer
import kotlin.random.Random
import kotlin.time.Instant

private const val SEED = 4711
private const val CORRUPTED_FRAMES = 200_000

private val vm = VmIdentity(VmName("nbo-a-1"), Incarnation(-3))
private val zone = ZoneName("nbo-a")
private val region = RegionName("nbo")
private val service = ServiceName("booking")
private val field = HeaderField("X-Test", "ü")

private val messages: List<PeerMessage> = listOf(
    Hello(vm, zone, region, "http://127.0.0.1:1", "127.0.0.1:2"),
    Heartbeat(
        sequence = 7,
        state = DeclaredState.LEAVING,
        bundle = AdvertisedBundle(12, BundleDigest("ab")),
        identifierWindow = 4,
        loads = listOf(ServiceLoad(service, 4, 2, 1, 30)),
        targetsLeaving = listOf(TargetName("t-1")),
        knownPeers = listOf(PeerContact(VmName("nbo-a-2"), zone, "127.0.0.1:2", region)),
    ),
    HeartbeatAck(7, setOf("seats/zone/nbo-a")),
    BundleRequest(12),
    RequestStart(
        stream = Long.MAX_VALUE,
        service = service,
        kind = KindName("payout"),
        method = "POST",
        path = "/a?b=c",
        headers = listOf(field, field),
        deadlineMilliseconds = 5_000,
        requestIdentifier = "nbo-a-1.x.1.y",
        mode = RequestMode.OWNER,
        mayRun = false,
    ),
    bundleReply(10),
    BodyEnd(1),
    ResponseStart(1, 200, emptyList(), null),
    Credit(1, 65_536),
    Cancel(1),
    Refused(1, RefusalReason.NO_SLOT, null),
    Refused(1, RefusalReason.QUEUE_FULL, 200),
    OutcomeUnknown(1, UnknownReason.STILL_RUNNING),
)

private fun bundleReply(size: Int): BundleReply {
    val signature = BinaryData(ByteArray(64))
    val activation = ActivationRecord(Instant.fromEpochSeconds(0), emptyList())
    val signOff = SignOff("operator-b", signature, "0123456789abcdef", activation)
    return BundleReply(
        7,
        SignedBundle(BinaryData(ByteArray(size)), "operator-a", signature, "0123456789abcdef", signOff),
    )
}

class PeerMessageTest :
    FunSpec({
        test("every message is unchanged by encoding and decoding") {
            for (message in messages) decodeFrame(encodeFrame(message)) shouldBe message
        }

        test("the bytes of a body chunk are unchanged by encoding and decoding") {
            val bytes = ByteArray(MAXIMUM_CHUNK_BYTES) { it.toByte() }
            val chunk = decodeFrame(encodeFrame(BodyChunk(3, bytes))) as BodyChunk
            chunk.stream shouldBe 3
            chunk.bytes shouldBe bytes
        }

        test("the largest bundle fits a frame, and a larger message is not sent") {
            decodeFrame(encodeFrame(bundleReply(MAXIMUM_BUNDLE_BYTES))) shouldBe bundleReply(MAXIMUM_BUNDLE_BYTES)
            shouldThrow<IllegalArgumentException> { encodeFrame(bundleReply(MAXIMUM_FRAME_BYTES)) }
        }

        test("a length out of range is rejected before any memory is reserved for the frame") {
            for (length in listOf(-1, 0, MAXIMUM_FRAME_BYTES + 1, Int.MAX_VALUE)) {
                val bytes = ByteBuffer.allocate(Int.SIZE_BYTES).putInt(length).array()
                shouldThrow<PeerProtocolException> { ByteReadChannel(bytes).readMessage() }
            }
        }

        // Any other exception would end the coroutine scope of all links instead of one link.
        test("corrupted frames yield a message or a protocol exception") {
            val random = Random(SEED)
            repeat(CORRUPTED_FRAMES) {
                val bytes = encodeFrame(messages.random(random))
                repeat(1 + random.nextInt(3)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
                val truncated = bytes.copyOf(1 + random.nextInt(bytes.size))
                try {
                    decodeFrame(truncated)
                } catch (_: PeerProtocolException) {
                    // Expected for most corruptions.
                }
            }
        }
    })
