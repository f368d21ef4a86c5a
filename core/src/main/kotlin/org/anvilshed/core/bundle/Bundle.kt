package org.anvilshed.core.bundle

import org.anvilshed.core.Incarnation
import org.anvilshed.core.KindName
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.TargetName
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Traffic steering configuration that the operators have set: a valid document in which every reference resolves.
 *
 * @property version increases with each bundle; a VM never returns to a lower version.
 * @property lookupTimeToLive how long a caller may use the answer of a lookup.
 * @property shareCount number of equal shares into which the limits of each zone and each region are divided.
 * @property isolationLimit how long an isolated VM may keep using its shares after its lease has ended.
 * @property revokedKeys names of operators whose signatures are no longer accepted.
 */
public data class Bundle(
    public val version: Long,
    public val comment: String,
    public val lookupTimeToLive: Duration,
    public val shareCount: Int,
    public val isolationLimit: Duration,
    public val revokedKeys: Set<String>,
    public val regions: Map<RegionName, Region>,
    public val zones: Map<ZoneName, Zone>,
    public val links: Map<LinkKey, Link>,
    public val services: Map<ServiceName, Service>,
    public val targets: Map<TargetName, Target>,
    public val moves: List<Move>,
    public val clientBlocks: List<ClientBlock>,
    public val retired: List<RetiredVm>,
)

/** A region and the number of requests per second that all its targets together may receive. */
public data class Region(public val name: RegionName, public val requestsPerSecond: Double)

/** An availability zone of a region. */
public data class Zone(public val name: ZoneName, public val region: RegionName)

/** Direction of a link between two regions. */
public data class LinkKey(public val from: RegionName, public val to: RegionName)

/**
 * Capacity of one direction of the link between two regions.
 *
 * @property usableFraction fraction of [bitsPerSecond] that steered traffic may use, greater than 0 and at most 1.
 */
public data class Link(public val key: LinkKey, public val bitsPerSecond: Long, public val usableFraction: Double)

/**
 * A service.
 *
 * @property shiftCap largest fraction of a VM's requests in any window that may be served outside of their region.
 * @property shiftWindow length of the window that [shiftCap] and [shiftRamp] refer to.
 * @property shiftRamp largest increase of the fraction of a planned move per window.
 * @property kinds request kinds by name, in the order of the document; the first kind is the default.
 */
public data class Service(
    public val name: ServiceName,
    public val maximumBodyBytes: Long,
    public val shiftCap: Double,
    public val shiftWindow: Duration,
    public val shiftRamp: Double,
    public val kinds: Map<KindName, RequestKind>,
)

/**
 * A kind of requests to a service.
 *
 * @property priority relative value of a correct answer, `worth` in the document; under overload, requests of lower
 * priority are refused first.
 * @property deadline default time for the whole request.
 * @property maximumDeadline longest deadline that a caller may ask for.
 */
public data class RequestKind(
    public val name: KindName,
    public val idempotent: Boolean,
    public val priority: Double,
    public val deadline: Duration,
    public val maximumDeadline: Duration,
)

/** State of a target that the operators want: only an active target receives new requests. */
public enum class DesiredTargetState {
    ACTIVE,
    LEAVING,
}

/**
 * A target of a service.
 *
 * @property slots maximum number of requests that the target processes at a time.
 * @property connections maximum number of connections that the target accepts.
 * @property leavesAt planned time after which the target receives no new requests, or `null` if none is planned.
 */
public data class Target(
    public val name: TargetName,
    public val service: ServiceName,
    public val zone: ZoneName,
    public val address: String,
    public val slots: Int,
    public val connections: Int,
    public val desiredState: DesiredTargetState,
    public val leavesAt: Instant?,
)

/**
 * Planned move of a [fraction] of the requests of [service] that enter in region [from] to region [to].
 *
 * @property startedAt time from which the fraction increases; `null` stands for the activation of the bundle.
 */
public data class Move(
    public val service: ServiceName,
    public val from: RegionName,
    public val to: RegionName,
    public val fraction: Double,
    public val startedAt: Instant? = null,
)

/** Preferred region of the callers whose addresses lie in [block], in CIDR notation. */
public data class ClientBlock(public val block: String, public val region: RegionName)

/** A process of an entry VM that the operators declare ended, so that its shares may be taken over. */
public data class RetiredVm(public val vm: VmName, public val incarnation: Incarnation)
