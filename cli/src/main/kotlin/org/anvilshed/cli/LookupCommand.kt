package org.anvilshed.cli

import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required

private val COLUMNS = listOf("vm", "url", "zone", "region", "token")

/** `anvilctl lookup`. */
internal class LookupCommand(private val environment: Environment) :
    AnvilctlCommand("lookup", "Ask an entry VM which entry VMs a caller should use; the best entry VM comes first.") {
    private val network by NetworkOptions()
    private val vm by option("--vm", metavar = "URL", help = "URL of the port for callers of a VM, http://IP:port.")
        .required()
    private val client by option("--client", metavar = "IP", help = "Address of the caller. Default: your own.")
    private val service by option("--service", help = "Service that the caller needs.")

    override fun execute(): CommandResult {
        val parameters = listOfNotNull(client?.let { "client" to it }, service?.let { "service" to it }).toMap()
        val answer = environment.getJson(vm, "/v1/entry", parameters, network.timeout)
        val rows = cells(answer.objects("entries"), COLUMNS)
        val title = "bundle ${answer.text("bundle_version") ?: "-"}, usable for ${answer.text("ttl_ms") ?: "-"} ms"
        val table = if (rows.isEmpty()) "no entry VM is available" else textTable(COLUMNS.map { it.uppercase() }, rows)
        return CommandResult("$title\n\n$table", answer)
    }
}
