package org.anvilshed.standins

/** Addresses (IP:port) of an entry VM. */
public data class VmAddresses(public val callers: String, public val peers: String, public val operations: String)

/**
 * What the settings files of a deployment need beyond its shape.
 *
 * @property addresses addresses by VM name.
 * @property relayed addresses by VM name under which peers reach each VM.
 */
internal class SampleSettings(
    val platformUrl: String,
    val addresses: Map<String, VmAddresses>,
    val relayed: Map<String, String>,
    val operators: List<OperatorKeys>,
)

/** Returns the settings file of [vm] in the format of design section 11. */
internal fun SampleDeployment.settingsText(vm: SampleVm, settings: SampleSettings): String = buildString {
    val own = settings.addresses.getValue(vm.name)
    appendLine("revoked_keys = []")
    appendSection("vm", "name" to vm.name, "region" to vm.region, "zone" to vm.zone)
    appendSection(
        "listen",
        "callers" to own.callers,
        "peers" to own.peers,
        "operations" to own.operations,
        "advertise_peers" to settings.relayed.getValue(vm.name),
    )
    appendSection("platform", "url" to settings.platformUrl, "request_timeout_ms" to 1_000)
    appendSection("log", "format" to "text", "level" to "info")
    for (peer in vms - vm) {
        appendTable(
            "peers",
            "name" to peer.name,
            "zone" to peer.zone,
            "region" to peer.region,
            "address" to settings.relayed.getValue(peer.name),
        )
    }
    for (operator in settings.operators) {
        appendTable("operators", "name" to operator.name, "public_key" to operator.publicKey)
    }
}
