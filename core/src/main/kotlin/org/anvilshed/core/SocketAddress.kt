package org.anvilshed.core

/**
 * Address of a listening socket.
 *
 * @property host IP address as text.
 * @property port port from 1 to 65535.
 */
public data class SocketAddress(public val host: String, public val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        /** Returns the address written as `host:port`, or `null` if [text] has another form. */
        public fun parseOrNull(text: String): SocketAddress? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull()
            if (host.isEmpty() || port == null || port !in 1..LARGEST_PORT) return null
            return SocketAddress(host, port)
        }

        private const val LARGEST_PORT = 65_535
    }
}
