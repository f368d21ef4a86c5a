package org.anvilshed.cli

import org.anvilshed.core.bundle.Bundle
import org.anvilshed.core.bundle.RequestKind
import org.anvilshed.core.bundle.Service

/** Returns the values of [bundle] by path, so that the order of tables does not matter when bundles are compared. */
internal fun fieldsOf(bundle: Bundle): Map<String, String> = buildMap {
    put("version", bundle.version)
    put("comment", bundle.comment)
    put("lookup_ttl_ms", bundle.lookupTimeToLive.inWholeMilliseconds)
    put("seats", bundle.shareCount)
    put("isolation_limit_ms", bundle.isolationLimit.inWholeMilliseconds)
    put("revoked_keys", bundle.revokedKeys.sorted().joinToString())
    for (region in bundle.regions.values) put("regions.${region.name}.requests_per_second", region.requestsPerSecond)
    for (zone in bundle.zones.values) put("zones.${zone.name}.region", zone.region)
    for (link in bundle.links.values) {
        put("links.${link.key.from}.${link.key.to}.bits_per_second", link.bitsPerSecond)
        put("links.${link.key.from}.${link.key.to}.usable", link.usableFraction)
    }
    bundle.services.values.forEach { putService(it) }
    for (target in bundle.targets.values) {
        val path = "targets.${target.name}"
        put("$path.service", target.service)
        put("$path.zone", target.zone)
        put("$path.address", target.address)
        put("$path.slots", target.slots)
        put("$path.connections", target.connections)
        put("$path.state", target.desiredState.name.lowercase())
        target.leavesAt?.let { put("$path.leaves_at", it) }
    }
    for (move in bundle.moves) {
        val path = "moves.${move.service}.${move.from}.${move.to}"
        put("$path.fraction", move.fraction)
        move.startedAt?.let { put("$path.started_at", it) }
    }
    for (block in bundle.clientBlocks) put("client_blocks.${block.block}.region", block.region)
    for (retired in bundle.retired) put("retired.${retired.vm}.${retired.incarnation}", "retired")
}

private fun MutableMap<String, String>.putService(service: Service) {
    val path = "services.${service.name}"
    put("$path.maximum_body_bytes", service.maximumBodyBytes)
    put("$path.shift_cap", service.shiftCap)
    put("$path.shift_window_ms", service.shiftWindow.inWholeMilliseconds)
    put("$path.shift_ramp", service.shiftRamp)
    put("$path.kinds", service.kinds.keys.joinToString())
    service.kinds.values.forEach { putKind("kinds.${service.name}.${it.name}", it) }
}

private fun MutableMap<String, String>.putKind(path: String, kind: RequestKind) {
    put("$path.idempotent", kind.idempotent)
    put("$path.worth", kind.priority)
    put("$path.deadline_ms", kind.deadline.inWholeMilliseconds)
    put("$path.maximum_deadline_ms", kind.maximumDeadline.inWholeMilliseconds)
}

private fun MutableMap<String, String>.put(path: String, value: Any) {
    put(path, value.toString())
}
