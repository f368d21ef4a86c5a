package org.anvilshed.core.lookup

private const val IPV4_PARTS = 4
private const val IPV6_GROUPS = 8
private const val GROUP_BITS = 16
private const val OCTET_BITS = 8
private const val MAXIMUM_OCTET = 255
private const val MAXIMUM_GROUP_DIGITS = 4
private const val KEY_BITS = 64
private const val IPV4_BITS = 32

/** Address family of a client block. */
public enum class AddressFamily(
    /** Longest prefix that the client block table distinguishes, in bits. */
    public val maximumPrefixLength: Int,
) {
    IPV4(IPV4_BITS),

    /** Only the first 64 bits are significant, since a site never divides the subnet of a caller. */
    IPV6(KEY_BITS),
}

/**
 * An IP address, in the form of a key of the client block table.
 *
 * @property key the first 64 bits of the address, left-aligned: an IPv4 address fills the upper 32 bits.
 */
public data class IpAddress(public val family: AddressFamily, public val key: Long)

/**
 * Returns the IPv4 or IPv6 address written in [text], or `null` if [text] is not a literal address.
 *
 * Host names are never resolved. IPv6 zone identifiers and embedded IPv4 parts are not accepted.
 */
public fun parseIpAddressOrNull(text: String): IpAddress? = if (':' in text) {
    parseIpv6Key(text)?.let { IpAddress(AddressFamily.IPV6, it) }
} else {
    parseIpv4Key(text)?.let { IpAddress(AddressFamily.IPV4, it) }
}

private fun parseIpv4Key(text: String): Long? {
    val parts = text.split('.')
    if (parts.size != IPV4_PARTS) return null
    var address = 0L
    for (part in parts) {
        val octet = part.takeIf { it.length in 1..3 && it.all(Char::isDigit) }?.toInt() ?: return null
        if (octet > MAXIMUM_OCTET) return null
        address = (address shl OCTET_BITS) or octet.toLong()
    }
    return address shl IPV4_BITS
}

private fun parseIpv6Key(text: String): Long? {
    val halves = text.split("::")
    if (halves.size > 2) return null
    val head = parseGroups(halves[0]) ?: return null
    val groups =
        if (halves.size == 1) {
            head
        } else {
            val tail = parseGroups(halves[1]) ?: return null
            val missing = IPV6_GROUPS - head.size - tail.size
            if (missing < 1) return null
            head + List(missing) { 0L } + tail
        }
    if (groups.size != IPV6_GROUPS) return null
    return groups.take(KEY_BITS / GROUP_BITS).fold(0L) { key, group -> (key shl GROUP_BITS) or group }
}

private fun parseGroups(text: String): List<Long>? {
    if (text.isEmpty()) return emptyList()
    return text.split(':').map { group ->
        group
            .takeIf { it.length in 1..MAXIMUM_GROUP_DIGITS }
            ?.toLongOrNull(radix = 16)
            ?.takeIf { it >= 0 }
            ?: return null
    }
}
