package org.anvilshed.standins

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.slf4j.LoggerFactory

private abstract class StandInCommand(name: String) : CliktCommand(name) {
    protected val host by option(help = "Loopback address to listen on.").default("127.0.0.1")
    protected val port by option(help = "Port to listen on; 0 is chosen by the system.").int().default(0)

    protected fun createVertx(): Vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))

    /** Prints the port for the process that started this one, which waits for this line. */
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
        val relay = NetworkRelay(createVertx(), Json.decodeFromString<List<RelayLink>>(links.readText()))
        announce(relay.start(host, port).actualPort())
    }
}

/** Runs the stand-in named by the first argument. */
public fun main(arguments: Array<String>) {
    (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) as Logger).level = Level.WARN
    object : NoOpCliktCommand("stand-ins") {}
        .subcommands(PlatformCommand(), TargetsCommand(), RelayCommand())
        .main(arguments)
}
