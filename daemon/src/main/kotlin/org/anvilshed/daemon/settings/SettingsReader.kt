package org.anvilshed.daemon.settings

import com.akuleshov7.ktoml.TomlInputConfig
import com.akuleshov7.ktoml.parsers.TomlParser
import com.akuleshov7.ktoml.tree.nodes.TomlArrayOfTablesElement
import com.akuleshov7.ktoml.tree.nodes.TomlFile
import com.akuleshov7.ktoml.tree.nodes.TomlTable
import org.anvilshed.core.RegionName
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import org.anvilshed.core.bundle.parsePublicKeyOrNull
import org.anvilshed.core.isValidName
import org.anvilshed.core.lookup.parseIpAddressOrNull
import java.net.URI
import java.net.URISyntaxException
import kotlin.time.Duration.Companion.milliseconds

private const val NAME_FORM = "1 to 63 lower-case letters, digits and inner hyphens"
private const val ADDRESS_FORM = "an address IP:port"
private const val URL_FORM = "a URL http://host:port without a path"
private const val MAXIMUM_PORT = 65_535
private const val MEBIBYTE = 1024L * 1024

private val TABLES = listOf("vm", "listen", "platform", "limits", "log")
private val ARRAYS = listOf("peers", "operators")

/** Result of [readSettings]. */
internal sealed interface SettingsResult {
    /** The file has no fault. */
    data class Valid(val settings: Settings) : SettingsResult

    /** The file has at least one fault; [faults] lists all of them. */
    data class Invalid(val faults: List<SettingsFault>) : SettingsResult
}

/** Reads the TOML document [text] and reports all of its faults at once. */
@Suppress("TooGenericExceptionCaught") // ktoml reports some malformed lines by exceptions of string functions.
internal fun readSettings(text: String): SettingsResult {
    val document = try {
        TomlParser(TomlInputConfig()).parseString(text)
    } catch (fault: IllegalArgumentException) {
        return notToml(fault)
    } catch (fault: IndexOutOfBoundsException) {
        return notToml(fault)
    } catch (fault: NoSuchElementException) {
        return notToml(fault)
    }
    return SettingsReader(document).read()
}

private fun notToml(fault: RuntimeException): SettingsResult =
    SettingsResult.Invalid(listOf(SettingsFault("", "not a TOML document: ${fault.message}")))

private class SettingsReader(private val document: TomlFile) {
    private val faults = mutableListOf<SettingsFault>()
    private val tables = document.children.filterIsInstance<TomlTable>()

    fun read(): SettingsResult {
        reportUnknownTables()
        val root = SettingsSection("", document, faults)
        val revokedKeys = root.texts("revoked_keys")
        root.reportUnknownKeys()
        val vm = table("vm", ::readVm)
        val listen = table("listen", ::readListen)
        val platform = table("platform", ::readPlatform)
        val limits = table("limits", ::readLimits)
        val log = table("log", ::readLog)
        val peers = array("peers", ::readPeer)
        val operators = array("operators", ::readOperator)
        if (faults.isNotEmpty()) return SettingsResult.Invalid(faults.toList())
        return SettingsResult.Valid(
            Settings(
                vm = checkNotNull(vm),
                listen = checkNotNull(listen),
                platform = checkNotNull(platform),
                peers = peers.filterNotNull().filter { it.name != vm.name },
                operators = operators.filterNotNull().toMap(),
                revokedKeys = checkNotNull(revokedKeys),
                limits = checkNotNull(limits),
                log = checkNotNull(log),
            ),
        )
    }

    private fun reportUnknownTables() {
        for (table in tables) {
            if (table.name !in TABLES + ARRAYS) {
                faults += SettingsFault(table.name, "unknown table; allowed are ${(TABLES + ARRAYS).joinToString()}")
            }
        }
    }

    private fun <T> table(name: String, read: (SettingsSection) -> T): T {
        val found = tables.filter { it.name == name }
        if (found.any { table -> table.children.any { it is TomlArrayOfTablesElement } }) {
            faults += SettingsFault(name, "expected one table [$name]")
        }
        val section = SettingsSection(name, found.firstOrNull(), faults)
        return read(section).also { section.reportUnknownKeys() }
    }

    private fun <T> array(name: String, read: (SettingsSection) -> T): List<T> {
        val found = tables.filter { it.name == name }.flatMap { it.children }
        val elements = found.filterIsInstance<TomlArrayOfTablesElement>()
        if (elements.size != found.size) faults += SettingsFault(name, "expected tables [[$name]]")
        val sections = elements.mapIndexed { index, element -> SettingsSection("$name[$index]", element, faults) }
        reportRepeated(sections)
        return sections.map { section -> read(section).also { section.reportUnknownKeys() } }
    }

    private fun reportRepeated(sections: List<SettingsSection>) {
        val names = sections.map { it.rawTextOrNull("name") }
        names.forEachIndexed { index, name ->
            if (name != null && names.indexOf(name) < index) {
                sections[index].report("name", "'$name' is given more than once")
            }
        }
    }
}

private fun readVm(section: SettingsSection): VmSettings? {
    val name = section.name("name", ::VmName)
    val region = section.name("region", ::RegionName)
    val zone = section.name("zone", ::ZoneName)
    return VmSettings(name ?: return null, region ?: return null, zone ?: return null)
}

private fun readListen(section: SettingsSection): ListenSettings? {
    val callers = section.address("callers", 0)
    val peers = section.address("peers", 0)
    val operations = section.address("operations", 0)
    val advertiseCallers = section.optionalText("advertise_callers", URL_FORM, ::parseUrlOrNull)
    val advertisePeers = section.optionalText("advertise_peers", ADDRESS_FORM) { parseAddressOrNull(it, 1) }
    return ListenSettings(
        callers = callers ?: return null,
        peers = peers ?: return null,
        operations = operations ?: return null,
        advertiseCallers = advertiseCallers,
        advertisePeers = advertisePeers,
    )
}

private fun readPlatform(section: SettingsSection): PlatformSettings? {
    val url = section.text("url", URL_FORM, convert = ::parseUrlOrNull)
    val timeout = section.long("request_timeout_ms", 50L..60_000L, default = 1_000)
    return PlatformSettings(url ?: return null, (timeout ?: return null).milliseconds)
}

private fun readPeer(section: SettingsSection): PeerSettings? {
    val name = section.name("name", ::VmName)
    val zone = section.name("zone", ::ZoneName)
    val region = section.name("region", ::RegionName)
    val address = section.address("address", 1)
    return PeerSettings(name ?: return null, zone ?: return null, region ?: return null, address ?: return null)
}

private fun readOperator(section: SettingsSection): Pair<String, java.security.PublicKey>? {
    val name = section.text("name", NAME_FORM) { text -> text.takeIf(::isValidName) }
    val key = section.text("public_key", "an Ed25519 public key in base64 (X.509)", convert = ::parsePublicKeyOrNull)
    return (name ?: return null) to (key ?: return null)
}

private fun readLimits(section: SettingsSection): LimitSettings? {
    val records = section.long("records", 1L..10_000_000L, default = 50_000)
    val recordBytes = section.long("record_bytes", 0L..(1024 * MEBIBYTE), default = 32 * MEBIBYTE)
    val queue = section.optionalLong("queue", 1L..100_000L)
    val drainLimit = section.long("drain_limit_ms", 0L..3_600_000L, default = 120_000)
    val body = section.long("maximum_body_bytes", 0L..(1024 * MEBIBYTE), default = 64 * MEBIBYTE)
    return LimitSettings(
        records = (records ?: return null).toInt(),
        recordBytes = recordBytes ?: return null,
        queue = queue?.toInt(),
        drainLimit = (drainLimit ?: return null).milliseconds,
        maximumBodyBytes = body ?: return null,
    )
}

private fun readLog(section: SettingsSection): LogSettings? {
    val format = section.choice("format", LogFormat.entries, LogFormat.TEXT) { it.label }
    val level = section.choice("level", LogLevel.entries, LogLevel.INFO) { it.label }
    return LogSettings(format ?: return null, level ?: return null)
}

private fun <T : Any> SettingsSection.name(key: String, construct: (String) -> T): T? =
    text(key, NAME_FORM) { text -> text.takeIf(::isValidName)?.let(construct) }

private fun SettingsSection.address(key: String, lowestPort: Int): SocketAddress? =
    text(key, "$ADDRESS_FORM with a port from $lowestPort to $MAXIMUM_PORT") { parseAddressOrNull(it, lowestPort) }

private fun <T : Any> SettingsSection.choice(key: String, all: List<T>, default: T, label: (T) -> String): T? =
    text(key, "one of ${all.joinToString(transform = label)}", default) { text -> all.find { label(it) == text } }

private fun parseUrlOrNull(text: String): String? = try {
    val url = URI(text)
    val isPlain = url.rawPath.orEmpty() in setOf("", "/") && url.rawQuery == null && url.rawUserInfo == null
    text.removeSuffix("/").takeIf { url.scheme == "http" && !url.host.isNullOrEmpty() && isPlain }
} catch (_: URISyntaxException) {
    null
}

/** Returns the address written in [text] as `IPv4:port` or `[IPv6]:port`, or `null`; names are not resolved. */
internal fun parseAddressOrNull(text: String, lowestPort: Int): SocketAddress? {
    val port = text.substringAfterLast(':').takeIf { digits -> digits.all { it in '0'..'9' } }?.toIntOrNull()
    val host = text.substringBeforeLast(':', "")
    val literal = if (host.startsWith('[') && host.endsWith(']')) host.substring(1, host.length - 1) else host
    if (port == null || port !in lowestPort..MAXIMUM_PORT) return null
    if ((':' in literal) != (literal != host) || parseIpAddressOrNull(literal) == null) return null
    return SocketAddress(literal, port)
}
