package org.anvilshed.standins

import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

private const val HOSTS_PER_OCTET = 250
private val created = AtomicInteger()

/**
 * Ports that the system chose on a loopback address of this deployment's own. They stay bound until [release], and
 * outgoing connections, which come from 127.0.0.1, cannot take them between the release and the start of the process
 * that they are for.
 */
internal class PortReservation {
    /** Loopback address, different for each process and reservation. */
    val host: String = ProcessHandle.current().pid().let { pid ->
        val second = 1 + pid / HOSTS_PER_OCTET % HOSTS_PER_OCTET
        "127.$second.${1 + pid % HOSTS_PER_OCTET}.${1 + created.getAndIncrement() % HOSTS_PER_OCTET}"
    }

    private val sockets = HashMap<String, ServerSocket>()

    /** Reserves a port and returns its address IP:port. */
    fun reserve(): String {
        val socket = ServerSocket(0, 1, InetAddress.getByName(host))
        val address = "$host:${socket.localPort}"
        sockets[address] = socket
        return address
    }

    /** Frees [addresses] for their processes. */
    fun release(addresses: Collection<String> = sockets.keys.toList()) {
        addresses.forEach { sockets.remove(it)?.close() }
    }
}
