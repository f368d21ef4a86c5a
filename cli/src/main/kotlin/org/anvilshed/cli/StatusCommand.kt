package org.anvilshed.cli

import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.anvilshed.wire.platform.BundleStore
import org.anvilshed.wire.platform.PlatformClient

private const val STATUS_PREFIX = "status/"
private val STATUS_FIELDS = listOf(
    "name", "incarnation", "zone", "region", "state", "bundle_version", "bundle_digest", "requests_in_flight",
    "platform_stale",
)
private val VM_COLUMNS = listOf("name", "incarnation", "state", "bundle_version", "age_ms")
private val SHARE_COLUMNS = listOf("scope", "held", "of", "valid")
private val PEER_COLUMNS = listOf("name", "incarnation", "zone", "state", "age_ms", "bundle_version")
private val TARGET_COLUMNS = listOf("name", "service", "state", "owned_slots", "in_flight")

/** `anvilctl status`. */
internal class StatusCommand(private val environment: Environment) :
    AnvilctlCommand(
        "status",
        "Show the VMs of all zones from the last reports to the platform, or with --vm the report of one VM itself.",
    ) {
    private val platform by PlatformOptions()
    private val network by NetworkOptions()
    private val vm by option("--vm", metavar = "URL", help = "URL of the operations port of a VM, http://IP:port.")

    override fun execute(): CommandResult {
        val url = vm
        if (url != null) return vmReport(environment.getJson(url, "/v1/status", emptyMap(), network.timeout))
        return environment.withPlatform(platform.url, CLIENT_NAME, network.timeout) { zoneReport(it) }
    }

    private suspend fun zoneReport(client: PlatformClient): CommandResult {
        val current = BundleStore(client).readCurrent().orNullIfAbsentOrMalformed()?.value?.version ?: 0
        val keys = client.list(STATUS_PREFIX).orFail().objects.map { it.key }.sorted()
        val zones = keys.associate { key ->
            val body = client.get(key).orNullIfAbsentOrMalformed()?.body?.decodeToString()
            key.removePrefix(STATUS_PREFIX) to body?.let(::parseObjectOrNull)
        }
        return CommandResult(zoneText(current, zones), zoneJson(current, zones))
    }

    private fun zoneText(current: Long, zones: Map<String, JsonObject?>): String {
        val rows = zones.flatMap { (zone, status) ->
            if (status == null) {
                listOf(listOf(zone, "(unreadable)") + List(VM_COLUMNS.size - 1) { "-" })
            } else {
                cells(status.objects("vms"), VM_COLUMNS).map { listOf(zone) + it }
            }
        }
        val header = listOf("ZONE") + VM_COLUMNS.map(::heading)
        val title = if (current == 0L) "no bundle is in force" else "bundle $current is in force"
        return title + "\n\n" + if (rows.isEmpty()) "no zone has reported" else textTable(header, rows)
    }

    private fun zoneJson(current: Long, zones: Map<String, JsonObject?>) = buildJsonObject {
        put("bundle_version", JsonPrimitive(current))
        put("zones", JsonArray(zones.values.filterNotNull()))
        put("unreadable", JsonArray(zones.filterValues { it == null }.keys.map(::JsonPrimitive)))
    }

    private fun vmReport(status: JsonObject): CommandResult {
        val fields = STATUS_FIELDS.mapNotNull { key -> status.text(key)?.let { listOf(key.replace('_', ' '), it) } }
        val sections = listOf(
            textTable(listOf("VM", status.text("name") ?: "-"), fields.drop(1)),
            section(status, "seats", SHARE_COLUMNS),
            section(status, "peers", PEER_COLUMNS),
            section(status, "targets", TARGET_COLUMNS),
        )
        return CommandResult(sections.joinToString("\n\n"), status)
    }

    private fun section(status: JsonObject, key: String, columns: List<String>): String {
        val rows = cells(status.objects(key), columns)
        return if (rows.isEmpty()) "no $key" else "$key:\n" + textTable(columns.map(::heading), rows)
    }

    private fun heading(column: String): String = column.replace('_', ' ').uppercase()
}
