package org.anvilshed.daemon.peers

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.core.membership.PeerContact
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.settings.SocketAddress
import org.anvilshed.daemon.settings.parseAddressOrNull
import org.anvilshed.wire.peer.DialResult
import org.anvilshed.wire.peer.Heartbeat
import org.anvilshed.wire.peer.PeerLink
import org.anvilshed.wire.peer.PeerTransport
import java.util.concurrent.ConcurrentHashMap
import kotlin.coroutines.CoroutineContext

/**
 * Links to the neighbors, one per peer name. All methods but those of [PeerLinks] are called on the control thread.
 *
 * @param control scope and context of the control thread.
 */
internal class PeerNetwork(
    private val directory: PeerDirectory,
    private val transport: PeerTransport,
    private val clock: DaemonClock,
    private val control: CoroutineScope,
    private val controlContext: CoroutineContext,
    private val nextHeartbeat: (Long) -> Heartbeat,
) : PeerLinks {
    private class Running(val connector: PeerConnector, val job: Job)

    private val running = ConcurrentHashMap<VmName, Running>()

    /** Connects to [neighbors] and closes the links to all other peers. */
    fun applyNeighbors(neighbors: List<PeerContact>) {
        val wanted = neighbors.mapNotNull { peer ->
            parseAddressOrNull(peer.address, lowestPort = 1)?.let { peer.name to it }
        }.toMap()
        for ((name, entry) in running) {
            if (wanted[name] != entry.connector.address) {
                entry.job.cancel()
                running.remove(name)
            }
        }
        for ((name, address) in wanted) {
            if (!running.containsKey(name)) running[name] = start(name, address)
        }
    }

    /** Sends a heartbeat to [name] at once if it is a neighbor. */
    fun announceTo(name: VmName) {
        running[name]?.connector?.sendNow()
    }

    /** Sends heartbeats to all neighbors at once. */
    fun announce(): Unit = running.values.forEach { it.connector.sendNow() }

    /** Returns the connector that uses [link], or `null`. */
    fun connectorOf(link: PeerLink): PeerConnector? = running.values.find { it.connector.link === link }?.connector

    override fun linkTo(vm: VmIdentity): PeerLink? =
        running[vm.name]?.connector?.link?.takeIf { it.isOpen && it.remote.vm == vm }

    override fun newestProcessOf(name: VmName): VmIdentity? =
        directory.peers.filter { it.vm.name == name }.maxByOrNull { it.lastMessageAt }?.vm

    override suspend fun connectTo(name: VmName): PeerLink? = withContext(controlContext) {
        val contact = directory.contacts().find { it.name == name }
        val address = contact?.let { parseAddressOrNull(it.address, lowestPort = 1) }
        val open = running[name]?.connector?.link?.takeIf { it.isOpen }
        when {
            open != null || address == null -> open
            else -> (transport.dial(address.host, address.port, DIAL_TIMEOUT) as? DialResult.Connected)?.link
        }
    }

    override fun isNeighborLink(link: PeerLink): Boolean = connectorOf(link) != null

    private fun start(name: VmName, address: SocketAddress): Running {
        val heartbeat = { sequence: Long ->
            directory.recordHeartbeatSent(name, clock.now())
            nextHeartbeat(sequence)
        }
        val connector = PeerConnector(address, transport, clock, heartbeat) { link ->
            directory.recordMessage(link.remote, clock.now())
        }
        return Running(connector, control.launch { connector.run() })
    }
}
