package org.anvilshed.benchmark

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import org.anvilshed.standins.CHOKAA
import org.anvilshed.standins.Programs
import org.anvilshed.standins.SAMPLE_DEPLOYMENTS
import org.slf4j.LoggerFactory
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds

private class MeasureCommand(name: String, private val summary: String, private val measure: (Measurement) -> Unit) :
    CliktCommand(name) {
    private val sample by option("--deployment", help = "Sample deployment.")
        .choice(SAMPLE_DEPLOYMENTS).default(CHOKAA, defaultForHelp = CHOKAA.name)
    private val profile by option("--peak", help = "Peak of the day; sets the mix and the sizes of requests.")
        .choice(
            "morning" to LoadProfile.MORNING,
            "evening" to LoadProfile.EVENING,
        ).default(LoadProfile.MORNING, defaultForHelp = "morning")
    private val seconds by option("--seconds", help = "Measured time in seconds.").int().default(20)
    private val warmUpSeconds by option(
        "--warm-up-seconds",
        help = "Load before the measured time, in seconds.",
    ).int().default(10)
    private val seed by option("--seed", help = "Random seed of the load.").long().default(1)
    private val rate by option("--rate", help = "Requests per second. Default: half of the slots' capacity.").double()
    private val delayed by option(
        "--delayed",
        help = "Delay traffic between VMs by the sample's delays between zones and regions.",
    ).flag()
    private val output by option("--output", help = "Output format.").choice("table", "json").default("table")
    private val root by option("--root", help = "Root folder of the repository, with all modules packaged.")
        .path(mustExist = true).default(Path.of(""))

    override fun help(context: Context) = summary

    override fun run() {
        (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) as Logger).level = Level.WARN
        val options = MeasurementOptions(
            programs = Programs.inRepository(root.toAbsolutePath()),
            sample = sample,
            profile = profile,
            duration = seconds.seconds,
            warmUp = warmUpSeconds.seconds,
            seed = seed,
            rate = rate,
            delayed = delayed,
        )
        val tables = ArrayList<ReportTable>()
        measure(Measurement(options) { tables += it })
        if (output == "json") {
            echo(JsonObject(tables.associate { it.title to JsonArray(it.toJson()) }).toString())
        } else {
            tables.forEach { echo(it.toText() + "\n") }
        }
    }
}

/** Runs the measurement named by the first of the [arguments] and prints its tables. */
public fun main(arguments: Array<String>) {
    object : NoOpCliktCommand("measure") {}.subcommands(
        MeasureCommand("load", "Outcomes, latency and headroom at a peak of the day.", Measurement::load),
        MeasureCommand(
            "direct",
            "Latency of requests sent straight to the targets and through the entry VMs.",
            Measurement::direct,
        ),
        MeasureCommand("overload", "Goodput up to the capacity and at twice the capacity.", Measurement::overload),
        MeasureCommand(
            "failover",
            "Correct answers per second while one of seven VMs is killed.",
            Measurement::failover,
        ),
        MeasureCommand("rollout", "Time until a signed-off bundle is in force on all VMs.", Measurement::rollout),
        MeasureCommand(
            "drain",
            "Time until a leaving target and a stopping VM have drained under load.",
            Measurement::drain,
        ),
    ).main(arguments)
}
