package org.anvilshed.daemon.http

import io.vertx.core.Future
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.RoutingContext
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.ServiceName
import org.anvilshed.core.isValidName
import org.anvilshed.core.lifecycle.DrainState
import org.anvilshed.core.lookup.EntryCandidate
import org.anvilshed.core.lookup.parseIpAddressOrNull
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.metrics.DaemonMetrics
import org.anvilshed.daemon.steering.LocalVm
import org.anvilshed.daemon.steering.SteeringReference
import org.anvilshed.daemon.steering.SteeringSnapshot

private const val MAXIMUM_ENTRIES = 3

/** Answers lookups, `GET /v1/entry`, from the latest steering snapshot. */
internal class EntryRoute(
    private val local: LocalVm,
    private val steering: SteeringReference,
    private val drain: DrainState,
    private val clock: DaemonClock,
    private val metrics: DaemonMetrics,
) {
    /** Answers one lookup. */
    fun handle(context: RoutingContext) {
        // A lookup counts as a request in flight, so that the process does not exit before the answer is sent.
        if (!drain.begin()) {
            context.request().connection().close()
            return
        }
        answer(context).onComplete { drain.end() }
    }

    private fun answer(context: RoutingContext): Future<Void> {
        val client = context.request().getParam("client")
        val service = context.request().getParam("service")
        val address = client?.let(::parseIpAddressOrNull)
        val current = steering.current
        val refusal = when {
            client != null && address == null -> 400 to RefusalReason.MALFORMED
            current == null -> 503 to RefusalReason.NO_BUNDLE
            service != null && !current.lists(service) -> 404 to RefusalReason.UNKNOWN_SERVICE
            else -> null
        }
        if (refusal != null || current == null) {
            return refuse(context, refusal ?: (503 to RefusalReason.NO_BUNDLE))
        }
        val callerKey = address?.key ?: context.request().remoteAddress()?.host().hashCode().toLong()
        // A caller without a client block is assumed to be near this VM.
        val region = address?.let(current.clientBlocks::findOrNull)
        val zone = local.zone.takeIf { region == null }
        val entries = current.entrySelector.select(callerKey, region ?: local.region, zone, MAXIMUM_ENTRIES + 1)
            .filter { it.vm != local.identity || !drain.isLeaving }
            .take(MAXIMUM_ENTRIES)
        return answer(context, current, entries)
    }

    private fun SteeringSnapshot.lists(service: String): Boolean =
        isValidName(service) && ServiceName(service) in bundle.services

    private fun answer(
        context: RoutingContext,
        current: SteeringSnapshot,
        entries: List<EntryCandidate>,
    ): Future<Void> {
        val timeToLive = current.bundle.lookupTimeToLive
        if (entries.any { it.vm == local.identity }) drain.recordListed(clock.now(), timeToLive)
        metrics.recordLookup()
        val list = JsonArray()
        for (entry in entries) {
            list.add(
                JsonObject()
                    .put("vm", entry.vm.name.value)
                    .put("url", entry.url)
                    .put("zone", entry.zone.value)
                    .put("region", entry.region.value)
                    .put("token", entry.token),
            )
        }
        if (drain.isLeaving) context.response().putHeader("Connection", "close")
        return context.json(
            JsonObject()
                .put("bundle_version", current.verified.version)
                .put("ttl_ms", timeToLive.inWholeMilliseconds)
                .put("entries", list),
        )
    }

    private fun refuse(context: RoutingContext, refusal: Pair<Int, RefusalReason>): Future<Void> {
        val (status, reason) = refusal
        context.response().setStatusCode(status).putHeader("Anvilshed-Reason", reason.label)
        val message = if (reason == RefusalReason.MALFORMED) "client is not an IP address" else messageOf(reason)
        return context.json(JsonObject().put("outcome", "not-run").put("reason", reason.label).put("message", message))
    }
}
