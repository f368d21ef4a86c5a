package org.anvilshed.standins

/**
 * Values for a generated bundle that its [SampleDeployment] does not contain.
 *
 * @property addresses IP:port of each target by name.
 * @property leaving names of targets whose state is `leaving`.
 * @property leavesAt planned leaving times (RFC 3339) by target name.
 * @property moves planned moves of traffic between regions.
 */
public data class SampleBundleOptions(
    public val addresses: Map<String, String>,
    public val version: Long = 1,
    public val comment: String = "sample deployment",
    public val leaving: Set<String> = emptySet(),
    public val leavesAt: Map<String, String> = emptyMap(),
    public val moves: List<SampleMove> = emptyList(),
    public val regionRequestsPerSecond: Double = 5_000.0,
    public val shiftCap: Double = 0.5,
)

/** Planned move of [fraction] of the requests of [service] from region [from] to region [to]. */
public data class SampleMove(val service: String, val from: String, val to: String, val fraction: Double)

/** Returns the bundle document of this deployment in the format of design section 12. */
public fun SampleDeployment.bundleText(options: SampleBundleOptions): String = buildString {
    appendTopLevelKeys(options)
    for (region in regions) {
        appendArrayElement(
            "regions",
            "name" to region,
            "requests_per_second" to options.regionRequestsPerSecond,
        )
    }
    for ((zone, region) in zones) appendArrayElement("zones", "name" to zone, "region" to region)
    for (from in regions) {
        for (to in regions - from) {
            appendArrayElement(
                "links",
                "from" to from,
                "to" to to,
                "bits_per_second" to linkBitsPerSecond,
                "usable" to 0.9,
            )
        }
    }
    for (service in services) appendService(service, options)
    for (target in targets) appendTarget(target, options)
    for (move in options.moves) {
        appendArrayElement(
            "moves",
            "service" to move.service,
            "from" to move.from,
            "to" to move.to,
            "fraction" to move.fraction,
        )
    }
    regions.forEachIndexed { index, region ->
        appendArrayElement("client_blocks", "block" to "10.${index + 1}.0.0/16", "region" to region)
    }
}

private fun StringBuilder.appendTopLevelKeys(options: SampleBundleOptions) {
    appendLine("format = 1")
    appendLine("version = ${options.version}")
    appendLine("comment = \"${options.comment}\"")
    appendLine("lookup_ttl_ms = 2000")
    appendLine("seats = 64")
    appendLine("isolation_limit_ms = 7200000")
    appendLine("revoked_keys = []")
}

private fun StringBuilder.appendService(service: SampleService, options: SampleBundleOptions) {
    appendArrayElement(
        "services",
        "name" to service.name,
        "maximum_body_bytes" to 10_485_760,
        "shift_cap" to options.shiftCap,
        "shift_window_ms" to 10_000,
        "shift_ramp" to 0.1,
    )
    for (kind in service.kinds) {
        appendArrayElement(
            "kinds",
            "service" to service.name,
            "name" to kind.name,
            "idempotent" to kind.idempotent,
            "worth" to kind.priority,
            "deadline_ms" to kind.deadlineMs,
            "maximum_deadline_ms" to kind.maximumDeadlineMs,
        )
    }
}

private fun StringBuilder.appendTarget(target: SampleTarget, options: SampleBundleOptions) {
    appendArrayElement(
        "targets",
        "service" to target.service,
        "name" to target.name,
        "zone" to target.zone,
        "address" to options.addresses.getValue(target.name),
        "slots" to target.slots,
        "connections" to 330,
        "state" to if (target.name in options.leaving) "leaving" else "active",
    )
    options.leavesAt[target.name]?.let { appendLine("leaves_at = \"$it\"") }
}

/** Appends an element of the TOML array of tables [name]; strings are quoted, numbers and booleans are not. */
internal fun StringBuilder.appendArrayElement(name: String, vararg values: Pair<String, Any>) {
    appendLine()
    appendLine("[[$name]]")
    values.forEach(::appendValue)
}

/** Appends the TOML table [name]; see [appendArrayElement]. */
internal fun StringBuilder.appendTable(name: String, vararg values: Pair<String, Any>) {
    appendLine()
    appendLine("[$name]")
    values.forEach(::appendValue)
}

private fun StringBuilder.appendValue(entry: Pair<String, Any>) {
    val (key, value) = entry
    appendLine("$key = ${if (value is String) "\"$value\"" else value.toString()}")
}
