package org.anvilshed.daemon.settings

import org.anvilshed.core.RegionName
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import java.security.PublicKey
import kotlin.time.Duration

/** Settings of one daemon, read from its TOML file by [readSettings]. */
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

/** Name and place of the entry VM. */
internal data class VmSettings(val name: VmName, val region: RegionName, val zone: ZoneName)

/** An address of the form `IP:port`. */
internal data class SocketAddress(val host: String, val port: Int) {
    override fun toString(): String = if (':' in host) "[$host]:$port" else "$host:$port"
}

/**
 * Addresses to listen on; port 0 is chosen by the system.
 *
 * @property advertiseCallers base URL told to callers, if it differs from the address in [callers].
 * @property advertisePeers address told to peers, if it differs from [peers].
 */
internal data class ListenSettings(
    val callers: SocketAddress,
    val peers: SocketAddress,
    val operations: SocketAddress,
    val advertiseCallers: String?,
    val advertisePeers: SocketAddress?,
)

/** The platform's object API; no call takes longer than [requestTimeout], apart from watches. */
internal data class PlatformSettings(val url: String, val requestTimeout: Duration)

/** A peer known from the start; others are learned from heartbeats. */
internal data class PeerSettings(
    val name: VmName,
    val zone: ZoneName,
    val region: RegionName,
    val address: SocketAddress,
)

/**
 * Bounds of one daemon.
 *
 * @property records largest number of records of non-idempotent requests.
 * @property recordBytes largest sum of the recorded answers in bytes.
 * @property queue largest number of waiting requests of a service; `null` for twice its owned slots, at least 8.
 * @property drainLimit time from the first stop signal after which the process exits with work remaining.
 * @property maximumBodyBytes upper bound of the body limits of all services.
 */
internal data class LimitSettings(
    val records: Int,
    val recordBytes: Long,
    val queue: Int?,
    val drainLimit: Duration,
    val maximumBodyBytes: Long,
)

/** Form of the log. */
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
