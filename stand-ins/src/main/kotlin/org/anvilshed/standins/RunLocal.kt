package org.anvilshed.standins

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.net.http.HttpResponse
import java.util.UUID

private const val LOOKUP_ATTEMPTS = 300
private const val LOOKUP_INTERVAL_MS = 100L

/**
 * Walks through a sample deployment: publishes a bundle, looks up entry VMs, reads across regions, and sends a booking
 * twice.
 *
 * @param print prints one line of output.
 */
public class RunLocal(private val deployment: LocalDeployment, private val print: (String) -> Unit) {
    private val sample = deployment.sample
    private val first = sample.vms.first()
    private val movedService = sample.services.last().name
    private val remote = sample.vms.first { it.region != first.region }

    /** Submits and signs off the sample bundle, and waits until all entry VMs hold shares of it. */
    public fun publish() {
        print("Submitting and signing off the sample bundle with anvilctl (files in ${deployment.folder})")
        // All targets of one service in the remote region are leaving, so that its reads there go to another region.
        val leaving = sample.targets
            .filter { it.service == movedService && sample.zones[it.zone] == remote.region }.map { it.name }.toSet()
        deployment.publish(1, deployment.bundleText { it.copy(shiftCap = 1.0, leaving = leaving) })
        sample.vms.forEach { deployment.awaitServing(it.name, 1) }
        print("Bundle 1 is in force on ${sample.vms.size} entry VMs; ${sample.targets.size} targets")
    }

    /**
     * Sends the requests and checks their answers.
     *
     * @throws IllegalStateException if an answer is not as expected.
     */
    public fun sendRequests() {
        val service = sample.services.first { service -> service.kinds.any { !it.idempotent } }
        val booking = service.kinds.first { !it.idempotent }
        val read = service.kinds.first { it.idempotent }
        val lookup = awaitLocalEntries("/v1/entry?service=${service.name}")
        report("lookup at ${first.name}", lookup)
        val path = "/v1/services/${service.name}/jobs/17"
        val localRead = deployment.callers(first.name).call("GET", path, "", "Anvilshed-Kind", read.name)
        report("read at ${first.name}", localRead)
        val remoteRead = deployment.callers(remote.name).call("GET", "/v1/services/$movedService/sheets/4")
        report("cross-region read at ${remote.name}", remoteRead)
        val server = sample.targets.first { it.name == remoteRead.headers().firstValue("Anvilshed-Target").orElse("") }
        check(sample.zones[server.zone] != remote.region) { "the read was served in its own region" }
        val entry = Json.decodeFromString<JsonObject>(lookup.body()).getValue("entries").jsonArray.first().jsonObject
        val identifier = "${entry.getValue("token").jsonPrimitive.content}.${UUID.randomUUID()}"
        val owner = entry.getValue("vm").jsonPrimitive.content
        val other = sample.vms.first { it.region != first.region && it.name != owner }.name
        val booked = book(owner, path, booking.name, identifier)
        val again = book(other, path, booking.name, identifier)
        check(booked.body() == again.body()) { "the second booking got another answer" }
        val executions = deployment.executions()[identifier]
        check(executions == 1) { "the booking was executed $executions times" }
        print("Both bookings got the same answer, and the targets executed the booking once")
    }

    /** Stops all daemons gracefully and returns whether all of them ended with exit code 0. */
    public fun stop(): Boolean {
        print("Stopping (SIGTERM); entry VMs serve on until no lookup answer names them any more")
        val codes = deployment.stopDaemons()
        print("Exit codes: " + codes.entries.joinToString { "${it.key}=${it.value}" })
        return codes.values.all { it == 0 }
    }

    /** Prints commands to try on a deployment that stays up. */
    public fun printHints() {
        val addresses = deployment.addresses.getValue(first.name)
        print("The deployment stays up until Ctrl-C. To try:")
        print("  curl http://${addresses.callers}/v1/entry")
        print("  curl -i -H 'Work-Ms: 20' http://${addresses.callers}/v1/services/${sample.services.first().name}/x")
        print("  curl http://${addresses.operations}/v1/status")
        print("  curl http://${addresses.operations}/metrics")
        print("  bin/anvilctl bundle history --settings ${deployment.folder.resolve("${first.name}.toml")}")
        print("  curl -d '{\"outage\":\"refuse\"}' ${deployment.platformUrl}/control")
    }

    /**
     * Looks up at the first VM until the answer lists all entry VMs of its region and no others, which is the case once
     * the first VM has received the state of all of them.
     */
    private fun awaitLocalEntries(path: String): HttpResponse<String> {
        repeat(LOOKUP_ATTEMPTS) {
            val lookup = deployment.callers(first.name).call("GET", path)
            val entries = Json.decodeFromString<JsonObject>(lookup.body())["entries"]?.jsonArray.orEmpty()
            val regions = entries.map { it.jsonObject.getValue("region").jsonPrimitive.content }
            if (regions.size == sample.vms.count { it.region == first.region } && regions.all { it == first.region }) {
                return lookup
            }
            Thread.sleep(LOOKUP_INTERVAL_MS)
        }
        error("lookups at ${first.name} do not prefer the entry VMs of its region")
    }

    private fun book(vm: String, path: String, kind: String, identifier: String): HttpResponse<String> {
        val answer = deployment.callers(vm)
            .call("POST", path, "{}", "Anvilshed-Kind", kind, "Anvilshed-Request-Id", identifier)
        report("booking $identifier at $vm", answer)
        return answer
    }

    private fun report(what: String, answer: HttpResponse<String>) {
        val headers = listOf("Anvilshed-Via", "Anvilshed-Target", "Anvilshed-Replayed").mapNotNull { name ->
            answer.headers().firstValue(name).orElse(null)?.let { "$name: $it" }
        }
        print("$what: ${answer.statusCode()} ${headers.joinToString()}\n  ${answer.body().trim()}")
        check(answer.statusCode() == 200) { "$what was not answered" }
    }
}
