package org.anvilshed.wire

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.Json
import kotlinx.serialization.serializer
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
import org.anvilshed.core.bundle.MoveFraction
import org.anvilshed.core.bundle.SignOff
import org.anvilshed.core.bundle.SignedBundle
import org.anvilshed.core.membership.AdvertisedBundle
import org.anvilshed.core.membership.PeerContact
import org.anvilshed.core.seats.LedgerMember
import org.anvilshed.core.seats.ShareLedger
import org.anvilshed.core.seats.ShareRange
import org.anvilshed.wire.peer.BodyChunk
import org.anvilshed.wire.peer.BodyEnd
import org.anvilshed.wire.peer.BundleReply
import org.anvilshed.wire.peer.BundleRequest
import org.anvilshed.wire.peer.Cancel
import org.anvilshed.wire.peer.Credit
import org.anvilshed.wire.peer.DeclaredState
import org.anvilshed.wire.peer.HeaderField
import org.anvilshed.wire.peer.Heartbeat
import org.anvilshed.wire.peer.HeartbeatAck
import org.anvilshed.wire.peer.Hello
import org.anvilshed.wire.peer.OutcomeUnknown
import org.anvilshed.wire.peer.PeerMessage
import org.anvilshed.wire.peer.Refused
import org.anvilshed.wire.peer.RequestMode
import org.anvilshed.wire.peer.RequestStart
import org.anvilshed.wire.peer.ResponseStart
import org.anvilshed.wire.peer.ServiceLoad
import org.anvilshed.wire.peer.decodeFrame
import org.anvilshed.wire.peer.encodeFrame
import org.anvilshed.wire.platform.CurrentBundle
import org.anvilshed.wire.platform.PlatformChanges
import org.anvilshed.wire.platform.PlatformEntry
import org.anvilshed.wire.platform.PlatformEvent
import org.anvilshed.wire.platform.PlatformListing
import org.anvilshed.wire.platform.PlatformVm
import org.anvilshed.wire.platform.PlatformVmRole
import org.anvilshed.wire.platform.PlatformVmState
import java.util.HexFormat
import kotlin.time.Instant

private val vm = VmIdentity(VmName("nbo-a-1"), Incarnation(-3))
private val zone = ZoneName("nbo-a")
private val region = RegionName("nbo")
private val submittedBundle =
    SignedBundle(BinaryData(byteArrayOf(1, 2, 3)), "ada", BinaryData(byteArrayOf(4, 5)), "s-1")
private val signedOffBundle = submittedBundle.copy(
    signOff = SignOff(
        operator = "grace",
        signature = BinaryData(byteArrayOf(6, 7)),
        signOffId = "o-1",
        activation = ActivationRecord(
            Instant.parse("2026-12-04T13:00:00Z"),
            listOf(MoveFraction(ServiceName("booking"), region, RegionName("lhr"), 0.25)),
        ),
    ),
)

/** A message and its [frame], in hexadecimal digits, as older builds write it. The [name] begins with its type. */
private class PeerSample(val name: String, val message: PeerMessage, val frame: String)

private val peerSamples = listOf(
    PeerSample(
        "hello",
        Hello(vm, zone, region, "http://127.0.0.1:1", "127.0.0.1:2"),
        "9f6568656c6c6fbf62766dbf646e616d65676e626f2d612d316b696e6361726e6174696f6e22ff647a6f6e65656e626f" +
            "2d6166726567696f6e636e626f6763616c6c65727372687474703a2f2f3132372e302e302e313a316570656572736b31" +
            "32372e302e302e313a32ffff",
    ),
    PeerSample(
        "hello of another protocol version",
        Hello(vm, zone, region, "http://127.0.0.1:1", "127.0.0.1:2", protocolVersion = 2),
        "9f6568656c6c6fbf62766dbf646e616d65676e626f2d612d316b696e6361726e6174696f6e22ff647a6f6e65656e626f" +
            "2d6166726567696f6e636e626f6763616c6c65727372687474703a2f2f3132372e302e302e313a316570656572736b31" +
            "32372e302e302e313a326f70726f746f636f6c56657273696f6e02ffff",
    ),
    PeerSample(
        "heartbeat",
        Heartbeat(
            sequence = 7,
            state = DeclaredState.LEAVING,
            bundle = AdvertisedBundle(12, BundleDigest("ab")),
            identifierWindow = 4,
            loads = listOf(ServiceLoad(ServiceName("booking"), 5, 2, 1, 30)),
            targetsLeaving = listOf(TargetName("t-1")),
            knownPeers = listOf(
                PeerContact(VmName("nbo-a-2"), zone, "127.0.0.1:2", region),
                PeerContact(VmName("nbo-a-3"), zone, "127.0.0.1:3"),
            ),
        ),
        "9f69686561727462656174bf6873657175656e636507657374617465674c454156494e476662756e646c65bf67766572" +
            "73696f6e0c66646967657374626162ff706964656e74696669657257696e646f7704656c6f6164739fbf677365727669" +
            "636567626f6f6b696e676a6f776e6564536c6f7473056966726565536c6f74730266717565756564017819657374696d" +
            "61746564576169744d696c6c697365636f6e6473181effff6e746172676574734c656176696e679f63742d31ff6a6b6e" +
            "6f776e50656572739fbf646e616d65676e626f2d612d32647a6f6e65656e626f2d6167616464726573736b3132372e30" +
            "2e302e313a3266726567696f6e636e626fffbf646e616d65676e626f2d612d33647a6f6e65656e626f2d616761646472" +
            "6573736b3132372e302e302e313a33ffffffff",
    ),
    PeerSample(
        "heartbeat-ack",
        HeartbeatAck(7, setOf("seats/zone/nbo-a")),
        "9f6d6865617274626561742d61636bbf6873657175656e6365076870726f6d697365739f7073656174732f7a6f6e652f" +
            "6e626f2d61ffffff",
    ),
    PeerSample(
        "bundle-request",
        BundleRequest(12),
        "9f6e62756e646c652d72657175657374bf6776657273696f6e0cffff",
    ),
    PeerSample(
        "bundle-reply",
        BundleReply(12, signedOffBundle),
        "9f6c62756e646c652d7265706c79bf6776657273696f6e0c6662756e646c65bf65627974657364415149446661757468" +
            "6f72636164616f617574686f725369676e6174757265644241553d6c7375626d697373696f6e496463732d3167736967" +
            "6e4f6666bf686f70657261746f72656772616365697369676e6174757265644267633d697369676e4f66664964636f2d" +
            "316a61637469766174696f6ebf6b616374697661746564417474323032362d31322d30345431333a30303a30305a6966" +
            "72616374696f6e739fbf677365727669636567626f6f6b696e676466726f6d636e626f62746f636c6872686672616374" +
            "696f6efb3fd0000000000000ffffffffffffff",
    ),
    PeerSample(
        "request-start",
        RequestStart(
            stream = 3,
            service = ServiceName("booking"),
            kind = KindName("payout"),
            method = "POST",
            path = "/a?b=c",
            headers = listOf(HeaderField("X-Test", "ok")),
            deadlineMilliseconds = 5_000,
            requestIdentifier = "i-1",
            mode = RequestMode.OWNER,
            mayRun = false,
        ),
        "9f6d726571756573742d7374617274bf6673747265616d03677365727669636567626f6f6b696e67646b696e64667061" +
            "796f7574666d6574686f6464504f53546470617468662f613f623d6367686561646572739fbf646e616d6566582d5465" +
            "73746576616c7565626f6bffff74646561646c696e654d696c6c697365636f6e64731913887172657175657374496465" +
            "6e74696669657263692d31646d6f6465654f574e4552666d617952756ef4ffff",
    ),
    PeerSample(
        "request-start without optional values",
        RequestStart(
            stream = 3,
            service = ServiceName("booking"),
            kind = null,
            method = "GET",
            path = "/",
            headers = emptyList(),
            deadlineMilliseconds = null,
            requestIdentifier = null,
            mode = RequestMode.EXECUTE,
        ),
        "9f6d726571756573742d7374617274bf6673747265616d03677365727669636567626f6f6b696e67646b696e64a0666d" +
            "6574686f64634745546470617468612f67686561646572739fff74646561646c696e654d696c6c697365636f6e6473f6" +
            "71726571756573744964656e746966696572f6646d6f64656745584543555445ffff",
    ),
    PeerSample(
        "body",
        BodyChunk(3, byteArrayOf(1, 2, -3)),
        "9f64626f6479bf6673747265616d03656279746573430102fdffff",
    ),
    PeerSample(
        "body-end",
        BodyEnd(3),
        "9f68626f64792d656e64bf6673747265616d03ffff",
    ),
    PeerSample(
        "response-start",
        ResponseStart(3, 200, listOf(HeaderField("X-Test", "ok")), "t-1", listOf("nbo-a-2")),
        "9f6e726573706f6e73652d7374617274bf6673747265616d036673746174757318c867686561646572739fbf646e616d" +
            "6566582d546573746576616c7565626f6bffff6674617267657463742d31637669619f676e626f2d612d32ffffff",
    ),
    PeerSample(
        "response-start without optional values",
        ResponseStart(3, 503, emptyList(), null),
        "9f6e726573706f6e73652d7374617274bf6673747265616d03667374617475731901f767686561646572739fff667461" +
            "72676574f6ffff",
    ),
    PeerSample(
        "credit",
        Credit(3, 1_024),
        "9f66637265646974bf6673747265616d03656279746573190400ffff",
    ),
    PeerSample(
        "cancel",
        Cancel(3),
        "9f6663616e63656cbf6673747265616d03ffff",
    ),
    PeerSample(
        "refused",
        Refused(3, RefusalReason.NO_SEAT, 250),
        "9f6772656675736564bf6673747265616d0366726561736f6e674e4f5f5345415476726574727941667465724d696c6c" +
            "697365636f6e647318faffff",
    ),
    PeerSample(
        "unknown",
        OutcomeUnknown(3, UnknownReason.STILL_RUNNING),
        "9f67756e6b6e6f776ebf6673747265616d0366726561736f6e6d5354494c4c5f52554e4e494e47ffff",
    ),
)

/** An object and its JSON [text] as older builds write it. */
private class StoredSample<T>(
    val name: String,
    private val serializer: KSerializer<T>,
    val value: T,
    val text: String,
) {
    fun encode(): String = Json.encodeToString(serializer, value)

    fun decode(): T = Json.decodeFromString(serializer, text)
}

private val member = VmIdentity(VmName("nbo-a-2"), Incarnation(4))
private val shareLedger = ShareLedger(
    shares = 64,
    members = listOf(
        LedgerMember(vm, zone, "127.0.0.1:1", 5, -6, member, 2.5, true, 700, 800),
        LedgerMember(member, zone, "127.0.0.1:2", 9, 10),
    ),
    owners = listOf(ShareRange(first = 3, count = 7, owner = vm)),
)

private val storedSamples = listOf(
    StoredSample(
        "share ledger",
        ShareLedger.serializer(),
        shareLedger,
        """{"seats":64,"members":[{"identity":{"name":"nbo-a-1","incarnation":-3},"zone":"nbo-a",""" +
            """"address":"127.0.0.1:1","renewal":5,"writeId":-6,"guardian":{"name":"nbo-a-2","incarnation":4},""" +
            """"demand":2.5,"leaving":true,"isolationMilliseconds":700,"deadlineMilliseconds":800},""" +
            """{"identity":{"name":"nbo-a-2","incarnation":4},"zone":"nbo-a","address":"127.0.0.1:2",""" +
            """"renewal":9,"writeId":10}],"owners":[{"first":3,"count":7,"owner":{"name":"nbo-a-1",""" +
            """"incarnation":-3}}]}""",
    ),
    StoredSample(
        "bundle that is signed off",
        SignedBundle.serializer(),
        signedOffBundle,
        """{"bytes":"AQID","author":"ada","authorSignature":"BAU=","submissionId":"s-1",""" +
            """"signOff":{"operator":"grace","signature":"Bgc=","signOffId":"o-1",""" +
            """"activation":{"activatedAt":"2026-12-04T13:00:00Z","fractions":[{"service":"booking",""" +
            """"from":"nbo","to":"lhr","fraction":0.25}]}}}""",
    ),
    StoredSample(
        "bundle that is not signed off",
        SignedBundle.serializer(),
        submittedBundle,
        """{"bytes":"AQID","author":"ada","authorSignature":"BAU=","submissionId":"s-1"}""",
    ),
    StoredSample(
        "current bundle",
        CurrentBundle.serializer(),
        CurrentBundle(12, BundleDigest("ab")),
        """{"version":12,"digest":"ab"}""",
    ),
    StoredSample(
        "platform listing",
        PlatformListing.serializer(),
        PlatformListing(5, listOf(PlatformEntry("bundles/current", 6))),
        """{"revision":5,"objects":[{"key":"bundles/current","version":6}]}""",
    ),
    StoredSample(
        "platform changes",
        PlatformChanges.serializer(),
        PlatformChanges(7, listOf(PlatformEvent("a", 8, deleted = true), PlatformEvent("b", 9))),
        """{"revision":7,"events":[{"key":"a","version":8,"deleted":true},{"key":"b","version":9}]}""",
    ),
    StoredSample(
        "entry VM of the platform",
        PlatformVm.serializer(),
        PlatformVm("nbo-a-1", PlatformVmRole.ENTRY, "nbo-a", "127.0.0.1:1", PlatformVmState.LIVE),
        """{"name":"nbo-a-1","role":"entry","zone":"nbo-a","address":"127.0.0.1:1","state":"live"}""",
    ),
    StoredSample(
        "target VM of the platform",
        PlatformVm.serializer(),
        PlatformVm("t-1", PlatformVmRole.TARGET, "nbo-a", "127.0.0.1:2", PlatformVmState.LEAVING),
        """{"name":"t-1","role":"target","zone":"nbo-a","address":"127.0.0.1:2","state":"leaving"}""",
    ),
)

private val peerTypes = listOf(
    "bundle-reply",
    "bundle-request",
    "heartbeat",
    "heartbeat-ack",
    "hello",
    "body",
    "body-end",
    "cancel",
    "credit",
    "unknown",
    "refused",
    "request-start",
    "response-start",
)

@OptIn(ExperimentalSerializationApi::class)
private val peerMessages: SerialDescriptor = PeerMessage.serializer().descriptor.getElementDescriptor(1)

/** Returns the paths of all fields in [descriptor], at any depth, that a writer may leave out. */
@OptIn(ExperimentalSerializationApi::class)
private fun optionalFields(descriptor: SerialDescriptor, path: String = ""): List<String> =
    (0 until descriptor.elementsCount).flatMap { index ->
        val field = "$path/${descriptor.getElementName(index)}"
        val inner = optionalFields(descriptor.getElementDescriptor(index), field)
        if (descriptor.isElementOptional(index)) listOf(field) + inner else inner
    }

@OptIn(ExperimentalSerializationApi::class)
private inline fun <reified T : Enum<T>> outerNames(): List<String> = serializer<T>().descriptor.elementNames.toList()

/**
 * Compares the format of messages and stored objects with the one of older builds: names, order and optionality of the
 * fields. The frames and JSON texts were written by a build from before the renaming of properties.
 */
@OptIn(ExperimentalSerializationApi::class)
class WireOuterNamesTest :
    FunSpec({
        for (sample in peerSamples) {
            test("an older build could not read this build's peer message in another format: ${sample.name}") {
                HexFormat.of().formatHex(encodeFrame(sample.message)) shouldBe sample.frame
                val decoded = decodeFrame(HexFormat.of().parseHex(sample.frame))
                HexFormat.of().formatHex(encodeFrame(decoded)) shouldBe sample.frame
            }
        }

        for (sample in storedSamples) {
            test("an older build could not read this build's object in another format: ${sample.name}") {
                sample.encode() shouldBe sample.text
                sample.decode() shouldBe sample.value
            }
        }

        test("an older build could not read a peer message of another type, or one without a field that it requires") {
            peerMessages.elementNames.toList() shouldContainExactlyInAnyOrder peerTypes
            peerSamples.map { it.name.substringBefore(' ') }.distinct() shouldContainExactlyInAnyOrder peerTypes
            optionalFields(peerMessages) shouldContainExactlyInAnyOrder listOf(
                "/bundle-reply/bundle/signOff",
                "/heartbeat/knownPeers/0/region",
                "/hello/protocolVersion",
                "/request-start/mayRun",
                "/response-start/via",
            )
        }

        test("an older build could not read an object without a field that it requires") {
            optionalFields(ShareLedger.serializer().descriptor) shouldContainExactly listOf(
                "/members/0/guardian",
                "/members/0/demand",
                "/members/0/leaving",
                "/members/0/isolationMilliseconds",
                "/members/0/deadlineMilliseconds",
            )
            optionalFields(SignedBundle.serializer().descriptor) shouldContainExactly listOf("/signOff")
            optionalFields(CurrentBundle.serializer().descriptor) shouldContainExactly emptyList()
            optionalFields(PlatformListing.serializer().descriptor) shouldContainExactly emptyList()
            optionalFields(PlatformChanges.serializer().descriptor) shouldContainExactly listOf("/events/0/deleted")
            optionalFields(PlatformVm.serializer().descriptor) shouldContainExactly emptyList()
        }

        test("an older build could not read a peer message with another state, mode or reason") {
            outerNames<DeclaredState>() shouldContainExactlyInAnyOrder listOf("STARTING", "SERVING", "LEAVING")
            outerNames<RequestMode>() shouldContainExactlyInAnyOrder listOf("EXECUTE", "OWNER")
            outerNames<RefusalReason>() shouldContainExactlyInAnyOrder listOf(
                "MALFORMED",
                "UNKNOWN_SERVICE",
                "UNKNOWN_KIND",
                "BODY_TOO_LARGE",
                "NO_BUNDLE",
                "NO_SEAT",
                "NO_SLOT",
                "NO_TARGET",
                "LINK_LIMIT",
                "REGION_LIMIT",
                "SHIFT_CAP",
                "QUEUE_FULL",
                "DEADLINE_TOO_SHORT",
                "DEADLINE_PASSED",
                "RETRY_BUDGET",
                "RECORDS_FULL",
                "TARGET_SHED",
                "PEER_UNREACHABLE",
                "LEAVING",
                "CANCELLED",
            )
            outerNames<UnknownReason>() shouldContainExactlyInAnyOrder listOf(
                "DEADLINE_PASSED",
                "TARGET_CONNECTION_LOST",
                "PEER_CONNECTION_LOST",
                "OWNER_UNREACHABLE",
                "OWNER_REPLACED",
                "IDENTIFIER_EXPIRED",
                "STILL_RUNNING",
                "ANSWER_NOT_RETAINED",
                "BODY_TOO_LARGE",
                "CANCELLED",
            )
        }
    })
