package org.anvilshed.standins

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.slf4j.LoggerFactory
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.deleteRecursively

private abstract class StandInCommand(name: String) : CliktCommand(name) {
    protected val host by option(help = "Loopback address to listen on.").default("127.0.0.1")
    protected val port by option(help = "Port to listen on; if 0, the system chooses one.").int().default(0)

    protected fun createVertx(): Vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))

    /** Prints the line with [port] for which the process that started this process waits. */
    protected fun announce(port: Int) {
        println("ready $port")
    }
}

private class PlatformCommand : StandInCommand("platform") {
    override fun run() = runBlocking { announce(PlatformStandIn(createVertx()).start(host, port).actualPort()) }
}

private class TargetsCommand : StandInCommand("targets") {
    private val specs by argument(help = "JSON file with the list of targets.").file(mustExist = true)

    override fun run() = runBlocking {
        val targets = TargetStandIns(createVertx(), Json.decodeFromString<List<TargetSpec>>(specs.readText()))
        val control = targets.start(host, port)
        targets.ports.forEach { (name, port) -> println("target $name $port") }
        announce(control.actualPort())
    }
}

private class RelayCommand : StandInCommand("relay") {
    private val links by argument(help = "JSON file with the list of links.").file(mustExist = true)

    override fun run() = runBlocking {
        val relay = NetworkRelay(createVertx(), Json.decodeFromString<List<RelaySpec>>(links.readText()))
        announce(relay.start(host, port).actualPort())
    }
}

private class RunLocalCommand : CliktCommand("run-local") {
    private val sample by option("--deployment", help = "Sample deployment to run.")
        .choice(SAMPLE_DEPLOYMENTS).default(CHOKAA, defaultForHelp = CHOKAA.name)
    private val keep by option("--keep", help = "Stay up after the requests, until Ctrl-C.").flag()
    private val root by option("--root", help = "Folder of the repository, with all modules packaged.")
        .path(mustExist = true).default(Path.of(""))

    override fun help(context: Context) = "Run a sample deployment on this machine and send it some requests."

    @OptIn(ExperimentalPathApi::class)
    override fun run() {
        val folder = Files.createTempDirectory("anvilshed-local")
        val stopped = LocalDeployment(sample, Programs.inRepository(root.toAbsolutePath()), folder).use { deployment ->
            val local = RunLocal(deployment, ::echo)
            echo("Starting platform, targets, relay and ${sample.vms.size} entry VMs of ${sample.name}")
            deployment.start()
            local.publish()
            local.sendRequests()
            if (keep) {
                local.printHints()
                Thread.currentThread().join()
            }
            local.stop()
        }
        if (!stopped) throw ProgramResult(1)
        folder.deleteRecursively()
    }
}

/** Runs the command named by the first of [arguments]: a stand-in or `run-local`. */
public fun main(arguments: Array<String>) {
    (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) as Logger).level = Level.WARN
    object : NoOpCliktCommand("stand-ins") {}
        .subcommands(PlatformCommand(), TargetsCommand(), RelayCommand(), RunLocalCommand())
        .main(arguments)
}
