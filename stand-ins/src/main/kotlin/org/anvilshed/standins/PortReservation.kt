package org.anvilshed.standins

import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

private const val HOSTS_PER_OCTET = 250
private val createdCount = AtomicInteger()

/**
 * Reserves free ports on a loopback address that only this deployment uses. The ports stay bound until [release].
 * Outgoing connections use 127.0.0.1 as their source address, so they cannot take a port between its release and the
 * start of the process that it is reserved for.
 */
internal class PortReservation {
    /** Loopback address that differs between processes and between reservations. */
    val host: String = ProcessHandle.current().pid().let { pid ->
        val second = 1 + pid / HOSTS_PER_OCTET % HOSTS_PER_OCTET
        "127.$second.${1 + pid % HOSTS_PER_OCTET}.${1 + createdCount.getAndIncrement() % HOSTS_PER_OCTET}"
    }

    private val sockets = HashMap<String, ServerSocket>()

    /** Reserves a port and returns its address IP:port. */
    fun reserve(): String {
        val socket = ServerSocket(0, 1, InetAddress.getByName(host))
        val address = "$host:${socket.localPort}"
        sockets[address] = socket
        return address
    }

    /** Releases the ports of [addresses], by default all reserved ports, so that their processes can bind them. */
    fun release(addresses: Collection<String> = sockets.keys.toList()) {
        addresses.forEach { sockets.remove(it)?.close() }
    }
}
