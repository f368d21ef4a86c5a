package org.anvilshed.standins

/** Request kind of a sample service. */
public data class SampleRequestKind(
    public val name: String,
    public val idempotent: Boolean,
    public val priority: Int,
    public val deadlineMs: Int,
    public val maximumDeadlineMs: Int,
)

/** A sample service. */
public data class SampleService(val name: String, val kinds: List<SampleRequestKind>)

/** An entry VM of a sample deployment. */
public data class SampleVm(val name: String, val zone: String, val region: String)

/** A target of a sample deployment. */
public data class SampleTarget(val name: String, val service: String, val zone: String, val slots: Int)

/**
 * Topology and services of a sample deployment: three regions with two zones each, seven entry VMs and 36 targets
 * (design section 2.3).
 *
 * @property slots numbers of slots of the targets.
 * @property linkBitsPerSecond capacity of each direction between two regions.
 * @property zoneDelayMs one-way delay between zones of the same region.
 * @property regionDelayMs one-way delay between regions.
 */
public data class SampleDeployment(
    public val name: String,
    public val regions: List<String>,
    public val services: List<SampleService>,
    public val slots: IntRange,
    public val linkBitsPerSecond: Long,
    public val zoneDelayMs: Long,
    public val regionDelayMs: Long,
) {
    /** Zones with their regions. */
    public val zones: Map<String, String> =
        regions.flatMap { region -> listOf("a", "b").map { "$region-$it" to region } }.toMap()

    /** One entry VM per zone and a second one in the first zone. */
    public val vms: List<SampleVm> = zones.flatMap { (zone, region) ->
        (1..if (zone == zones.keys.first()) 2 else 1).map { SampleVm("$zone-$it", zone, region) }
    }

    /** Two targets per zone and service; their numbers of slots cycle through [slots]. */
    public val targets: List<SampleTarget> = services.flatMap { service ->
        zones.keys.flatMap { zone -> (1..2).map { Triple(service.name, zone, it) } }
    }.mapIndexed { index, (service, zone, number) ->
        SampleTarget("$service-$zone-$number", service, zone, slots.first + index % slots.count())
    }
}

private fun read(name: String, priority: Int, deadlineMs: Int) =
    SampleRequestKind(name, idempotent = true, priority, deadlineMs, maximumDeadlineMs = 10_000)

private fun write(name: String, priority: Int, deadlineMs: Int) =
    SampleRequestKind(name, idempotent = false, priority, deadlineMs, maximumDeadlineMs = 10_000)

/** Chokaa Safi Systems: dispatch of crews, bookings and payouts in the evening. */
public val CHOKAA: SampleDeployment = SampleDeployment(
    name = "chokaa",
    regions = listOf("nbo", "msa", "ksm"),
    services = listOf(
        SampleService("cistern", listOf(read("history", 1, 2_000), read("record", 2, 3_000))),
        SampleService(
            "booking",
            listOf(read("open-jobs", 2, 3_000), write("book", 10, 5_000), write("payout", 20, 5_000)),
        ),
        SampleService("stock", listOf(read("level", 1, 2_000), read("route-sheet", 2, 3_000))),
    ),
    slots = 3..5,
    linkBitsPerSecond = 4_000_000_000,
    zoneDelayMs = 0,
    regionDelayMs = 27,
)

/** Régie des calebasses: counter stock, citizens' bookings and ledger, curing records. */
public val REGIE: SampleDeployment = SampleDeployment(
    name = "regie",
    regions = listOf("mauricie", "saguenay", "estrie"),
    services = listOf(
        SampleService("counter", listOf(read("stock", 1, 2_000), read("price", 1, 2_000))),
        SampleService(
            "citizen",
            listOf(read("catalogue", 2, 3_000), write("loan", 10, 5_000), write("purchase", 20, 5_000)),
        ),
        SampleService("curing", listOf(read("schedule", 1, 2_000), read("lot-history", 2, 3_000))),
    ),
    slots = 3..4,
    linkBitsPerSecond = 300_000_000,
    zoneDelayMs = 1,
    regionDelayMs = 10,
)

/** Sample deployments by their name for the option `--deployment`. */
public val SAMPLE_DEPLOYMENTS: Map<String, SampleDeployment> = listOf(CHOKAA, REGIE).associateBy { it.name }
