package org.anvilshed.daemon.settings

import org.anvilshed.core.RegionName
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import java.security.PublicKey
import kotlin.time.Duration

/** Settings of one daemon, which [readSettings] reads from a TOML file. */
internal data class Settings(
    val vm: VmSettings,
    val listen: ListenSettings,
    val platform: PlatformSettings,
    val peers: List<PeerSettings>,
    val operators: Map<String, PublicKey>,
    val revokedKeys: Set<String>,
    val limits: LimitSettings,
    val log: LogSettings,
)

/** Name, region and zone of the entry VM. */
internal data class VmSettings(val name: VmName, val region: RegionName, val zone: ZoneName)

/** An IP address and a port. */
internal data class SocketAddress(val host: String, val port: Int) {
    override fun toString(): String = if (':' in host) "[$host]:$port" else "$host:$port"
}

/**
 * Addresses to listen on; for port 0 the system chooses a free port.
 *
 * @property advertiseCallers base URL announced to callers, `null` for the address in [callers].
 * @property advertisePeers address announced to peers, `null` for [peers].
 */
internal data class ListenSettings(
    val callers: SocketAddress,
    val peers: SocketAddress,
    val operations: SocketAddress,
    val advertiseCallers: String?,
    val advertisePeers: SocketAddress?,
)

/** Base URL of the object API of the platform and the timeout of each call except watches. */
internal data class PlatformSettings(val url: String, val requestTimeout: Duration)

/** A peer that is known when the process starts; other peers are learned from heartbeats. */
internal data class PeerSettings(
    val name: VmName,
    val zone: ZoneName,
    val region: RegionName,
    val address: SocketAddress,
)

/**
 * Limits of one daemon.
 *
 * @property records largest number of records of non-idempotent requests.
 * @property recordBytes largest sum of the recorded answers in bytes.
 * @property queue largest number of queued requests of a service; `null` for twice its owned slots, at least 8.
 * @property drainLimit time after the first stop signal at which the process exits even if requests are in flight.
 * @property maximumBodyBytes upper bound in bytes of the body limits of all services.
 */
internal data class LimitSettings(
    val records: Int,
    val recordBytes: Long,
    val queue: Int?,
    val drainLimit: Duration,
    val maximumBodyBytes: Long,
)

/** Format of the log lines and lowest level that is logged. */
internal data class LogSettings(val format: LogFormat, val level: LogLevel)

internal enum class LogFormat(val label: String) {
    TEXT("text"),
    JSON("json"),
}

internal enum class LogLevel(val label: String) {
    DEBUG("debug"),
    INFO("info"),
    WARN("warn"),
    ERROR("error"),
}
