package org.anvilshed.wire.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.anvilshed.core.KindName
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.TargetName
import org.anvilshed.core.UnknownReason
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.ZoneName
import org.anvilshed.core.bundle.SignedBundle
import org.anvilshed.core.membership.AdvertisedBundle
import org.anvilshed.core.membership.PeerContact

/** Version of the peer protocol; a link between processes of different versions is not established. */
public const val PROTOCOL_VERSION: Int = 1

/** A message between the daemons of two entry VMs; [encodeFrame] encodes it for transmission. */
@Serializable
public sealed interface PeerMessage

/** A message that belongs to one request, identified by the [stream] number on its connection. */
@Serializable
public sealed interface StreamMessage : PeerMessage {
    public val stream: Long
}

/**
 * Greeting: the first message in each direction of a connection.
 *
 * @property callers base URL at which callers reach the sender.
 * @property peers address (`host:port`) at which peers reach the sender.
 */
@Serializable
@SerialName("hello")
public data class Hello(
    public val vm: VmIdentity,
    public val zone: ZoneName,
    public val region: RegionName,
    public val callers: String,
    public val peers: String,
    public val protocolVersion: Int = PROTOCOL_VERSION,
) : PeerMessage

/** Serving state that a process announces about itself. */
@Serializable
public enum class DeclaredState {
    STARTING,
    SERVING,
    LEAVING,
}

/**
 * Load of one service on the reporting entry VM.
 *
 * @property ownedSlots number of slots that the VM owns on the targets of the service.
 * @property freeSlots number of owned slots that are free and not needed by a queued request.
 * @property queued number of queued requests.
 * @property estimatedWaitMilliseconds estimated time in the queue.
 */
@Serializable
public data class ServiceLoad(
    public val service: ServiceName,
    public val ownedSlots: Int,
    public val freeSlots: Int,
    public val queued: Int,
    public val estimatedWaitMilliseconds: Long,
)

/**
 * Periodic report of the dialing process.
 *
 * @property bundle bundle in force, or `null` if there is none.
 * @property identifierWindow number of the sender's current identifier window.
 * @property targetsLeaving targets that the sender has observed to be leaving.
 * @property knownPeers some of the peers that the sender knows.
 */
@Serializable
@SerialName("heartbeat")
public data class Heartbeat(
    public val sequence: Long,
    public val state: DeclaredState,
    public val bundle: AdvertisedBundle?,
    public val identifierWindow: Long,
    public val loads: List<ServiceLoad>,
    public val targetsLeaving: List<TargetName>,
    public val knownPeers: List<PeerContact>,
) : PeerMessage

/**
 * Response to the [Heartbeat] with the same [sequence].
 *
 * @property leaseGrants keys of the ledgers of shares in which the sender grants the heartbeat's process a lease: it
 * does not remove the process from them within the lease duration. Leases are granted per ledger, since a process can
 * be a member of one ledger only.
 */
@Serializable
@SerialName("heartbeat-ack")
public data class HeartbeatAck(
    public val sequence: Long,
    @SerialName("promises") public val leaseGrants: Set<String>,
) : PeerMessage

/** Requests the bundle in force on the receiver if its version is at least [version]. */
@Serializable
@SerialName("bundle-request")
public data class BundleRequest(public val version: Long) : PeerMessage

/**
 * The bundle in force on the sender; the receiver verifies its signatures.
 *
 * @property version version of the [BundleRequest]; the bundle may have a higher version.
 */
@Serializable
@SerialName("bundle-reply")
public data class BundleReply(public val version: Long, public val bundle: SignedBundle) : PeerMessage

/** What the receiver of a [RequestStart] is asked to do. */
@Serializable
public enum class RequestMode {
    /** Execute the request on a target of the receiver, without forwarding it again. */
    EXECUTE,

    /** Handle the request as the owner of its identifier. */
    OWNER,
}

/** An HTTP header field; several fields of a message may have the same name. */
@Serializable
public data class HeaderField(public val name: String, public val value: String)

/**
 * Opens a stream for one request; the body follows as [BodyChunk]s and [BodyEnd].
 *
 * @property path path and query as sent to the target.
 * @property deadlineMilliseconds remaining time when the message was sent; `null` for the default of the request kind,
 * and 0 if the caller's value was malformed. `null` and 0 are sent only to the owner of an identifier, since no other
 * VM may state that a request with an identifier was not executed.
 * @property requestIdentifier identifier of a non-idempotent request.
 * @property mayRun whether the shift cap of the region in which the request entered allows its execution in the
 * receiver's region; if not, the receiver may only return the result of an earlier arrival of the request.
 */
@Serializable
@SerialName("request-start")
public data class RequestStart(
    override val stream: Long,
    public val service: ServiceName,
    public val kind: KindName?,
    public val method: String,
    public val path: String,
    public val headers: List<HeaderField>,
    public val deadlineMilliseconds: Long?,
    public val requestIdentifier: String?,
    public val mode: RequestMode,
    public val mayRun: Boolean = true,
) : StreamMessage

/** At most [MAXIMUM_CHUNK_BYTES] of a body; counted against the receiver's [Credit]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("body")
public class BodyChunk(override val stream: Long, @ByteString public val bytes: ByteArray) : StreamMessage

/** Marks the end of a complete body. */
@Serializable
@SerialName("body-end")
public data class BodyEnd(override val stream: Long) : StreamMessage

/**
 * Start of a target's response; the body follows.
 *
 * @property via entry VMs that the response passed, from the sender to the VM that called the target.
 */
@Serializable
@SerialName("response-start")
public data class ResponseStart(
    override val stream: Long,
    public val status: Int,
    public val headers: List<HeaderField>,
    public val target: String?,
    public val via: List<String> = emptyList(),
) : StreamMessage

/** Allows the receiver to send [bytes] more body bytes on the stream. */
@Serializable
@SerialName("credit")
public data class Credit(override val stream: Long, public val bytes: Long) : StreamMessage

/** The sender has abandoned the stream; a response that has started is incomplete. */
@Serializable
@SerialName("cancel")
public data class Cancel(override val stream: Long) : StreamMessage

/** The request was refused and not executed. */
@Serializable
@SerialName("refused")
public data class Refused(
    override val stream: Long,
    public val reason: RefusalReason,
    public val retryAfterMilliseconds: Long?,
) : StreamMessage

/** It is unknown whether the request was executed. */
@Serializable
@SerialName("unknown")
public data class OutcomeUnknown(override val stream: Long, public val reason: UnknownReason) : StreamMessage
