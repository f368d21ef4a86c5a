package org.anvilshed.daemon.peers

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.anvilshed.core.RegionName
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.settings.PeerSettings
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
    private val self: VmIdentity,
    private val directory: PeerDirectory,
    private val transport: PeerTransport,
    private val clock: DaemonClock,
    private val control: CoroutineScope,
    private val controlContext: CoroutineContext,
    private val nextHeartbeat: (Long) -> Heartbeat,
) : PeerLinks {
    private class Running(val connector: PeerConnector, val job: Job)

    private val running = ConcurrentHashMap<VmName, Running>()
    private val configured = ConcurrentHashMap<VmName, PeerSettings>()

    /** Adds a peer whose process is not known yet. */
    fun addConfigured(peers: Collection<PeerSettings>) {
        peers.filter { it.name != self.name }.forEach { configured[it.name] = it }
    }

    /** Names and addresses of all peers that could be connected to. */
    fun knownAddresses(): Map<VmName, SocketAddress> {
        val learned = directory.peers.mapNotNull { (name, info) ->
            parseAddressOrNull(info.peers, lowestPort = 1)?.let { name to it }
        }
        return configured.mapValues { it.value.address } + learned
    }

    /** Zones of all peers that could be connected to. */
    fun knownZones(): Map<VmName, ZoneName> =
        configured.mapValues { it.value.zone } + directory.peers.mapValues { it.value.zone }

    /** Connects to [neighbors] and to nobody else. */
    fun applyNeighbors(neighbors: Set<VmName>) {
        val addresses = knownAddresses()
        for ((name, entry) in running) {
            if (name !in neighbors || addresses[name] != entry.connector.address) {
                entry.job.cancel()
                running.remove(name)
            }
        }
        for (name in neighbors) {
            val address = addresses[name]
            if (!running.containsKey(name) && address != null) running[name] = start(address)
        }
    }

    /** Sends heartbeats to all neighbors at once. */
    fun announce(): Unit = running.values.forEach { it.connector.sendNow() }

    /** Returns the connector that uses [link], or `null`. */
    fun connectorOf(link: PeerLink): PeerConnector? = running.values.find { it.connector.link === link }?.connector

    override fun linkTo(vm: VmIdentity): PeerLink? =
        running[vm.name]?.connector?.link?.takeIf { it.isOpen && it.remote.vm == vm }

    override fun newestProcessOf(name: VmName): VmIdentity? = directory.peers[name]?.vm

    override fun regionOf(name: VmName): RegionName? = directory.peers[name]?.region ?: configured[name]?.region

    override suspend fun connectTo(name: VmName): PeerLink? = withContext(controlContext) {
        val address = knownAddresses()[name]
        val present = running[name]?.connector?.link?.takeIf { it.isOpen }
        when {
            present != null || address == null -> present
            else -> (transport.dial(address.host, address.port, DIAL_TIMEOUT) as? DialResult.Connected)?.link
        }
    }

    override fun isKept(link: PeerLink): Boolean = connectorOf(link) != null

    private fun start(address: SocketAddress): Running {
        val connector = PeerConnector(address, transport, clock, nextHeartbeat) { link ->
            directory.heard(link.remote, clock.now())
        }
        return Running(connector, control.launch { connector.run() })
    }
}
