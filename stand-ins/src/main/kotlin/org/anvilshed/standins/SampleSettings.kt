package org.anvilshed.standins

/** Addresses (IP:port) of an entry VM. */
public data class VmAddresses(public val callers: String, public val peers: String, public val operations: String)

/**
 * Values for the settings files of a deployment that its [SampleDeployment] does not contain.
 *
 * @property addresses addresses that the VMs listen on, by VM name.
 * @property relayed addresses (IP:port) that peers dial, by VM name.
 */
internal class SampleSettings(
    val platformUrl: String,
    val addresses: Map<String, VmAddresses>,
    val relayed: Map<String, String>,
    val operators: List<OperatorKeys>,
)

/** Returns the contents of the settings file of [vm] in the format of design section 11. */
internal fun SampleDeployment.settingsText(vm: SampleVm, settings: SampleSettings): String = buildString {
    val own = settings.addresses.getValue(vm.name)
    appendLine("revoked_keys = []")
    appendTable("vm", "name" to vm.name, "region" to vm.region, "zone" to vm.zone)
    appendTable(
        "listen",
        "callers" to own.callers,
        "peers" to own.peers,
        "operations" to own.operations,
        "advertise_peers" to settings.relayed.getValue(vm.name),
    )
    appendTable("platform", "url" to settings.platformUrl, "request_timeout_ms" to 1_000)
    appendTable("log", "format" to "text", "level" to "info")
    for (peer in vms - vm) {
        appendArrayElement(
            "peers",
            "name" to peer.name,
            "zone" to peer.zone,
            "region" to peer.region,
            "address" to settings.relayed.getValue(peer.name),
        )
    }
    for (operator in settings.operators) {
        appendArrayElement("operators", "name" to operator.name, "public_key" to operator.publicKey)
    }
}
