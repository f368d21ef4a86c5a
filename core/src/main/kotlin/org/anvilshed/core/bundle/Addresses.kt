package org.anvilshed.core.bundle

import java.net.InetAddress

private const val MAXIMUM_PORT = 65535
private const val BITS_PER_BYTE = 8
private val IPV4_PATTERN = Regex("(25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)(\\.(25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)){3}")
private val IPV6_PATTERN = Regex("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*")

/** Returns the bytes of the IPv4 or IPv6 literal [text], or `null` for any other text. Never resolves a host name. */
internal fun parseIpAddressBytesOrNull(text: String): ByteArray? = when {
    IPV4_PATTERN.matches(text) -> InetAddress.getByName(text).address
    IPV6_PATTERN.matches(text) -> runCatching { InetAddress.getByName(text).address }.getOrNull()
    else -> null
}

/** Returns [text] if it has the form `IPv4:port` or `[IPv6]:port`, otherwise `null`. */
internal fun parseSocketAddressOrNull(text: String): String? {
    val host = text.substringBeforeLast(':', "")
    val port = text.substringAfterLast(':').takeIf { digits -> digits.all { it in '0'..'9' } }?.toIntOrNull()
    val address = if (host.startsWith('[') && host.endsWith(']')) {
        host.substring(1, host.length - 1).takeIf { ':' in it }
    } else {
        host.takeIf { ':' !in it }
    }
    return text.takeIf { port in 1..MAXIMUM_PORT && address?.let(::parseIpAddressBytesOrNull) != null }
}

/** Returns [text] if it is a block in CIDR notation with no bit set after the prefix, otherwise `null`. */
internal fun parseBlockOrNull(text: String): String? {
    val address = parseIpAddressBytesOrNull(text.substringBefore('/')) ?: return null
    val digits = text.substringAfter('/', "").takeIf { part -> part.all { it in '0'..'9' } }
    val prefix = digits?.toIntOrNull()?.takeIf { it in 0..address.size * BITS_PER_BYTE } ?: return null
    val hostBitsAreZero = (prefix until address.size * BITS_PER_BYTE).all { bit ->
        address[bit / BITS_PER_BYTE].toInt() shr (BITS_PER_BYTE - 1 - bit % BITS_PER_BYTE) and 1 == 0
    }
    return text.takeIf { hostBitsAreZero }
}
