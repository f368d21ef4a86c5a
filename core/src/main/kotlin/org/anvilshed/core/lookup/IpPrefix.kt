package org.anvilshed.core.lookup

private const val KEY_BITS = 64

/**
 * A block of addresses in CIDR notation.
 *
 * @property key first address of the block, left-aligned as in [IpAddress.key]; the bits after [length] are zero.
 * @property length number of leading bits that all addresses of the block share.
 */
public data class IpPrefix(public val family: AddressFamily, public val key: Long, public val length: Int)

/** Returns the block written in [text], such as `10.1.0.0/16`, or `null` if it is malformed or has host bits set. */
public fun parseIpPrefixOrNull(text: String): IpPrefix? {
    val slash = text.indexOf('/')
    if (slash < 0) return null
    val address = parseIpAddressOrNull(text.substring(0, slash)) ?: return null
    val length = text.substring(slash + 1).takeIf { it.length in 1..2 && it.all(Char::isDigit) }?.toInt() ?: return null
    if (length > address.family.maximumPrefixLength) return null
    return IpPrefix(address.family, address.key, length).takeIf { (it.key and prefixMask(length)) == it.key }
}

/** Returns the key mask of a prefix of [length] bits, 0 to 64. */
internal fun prefixMask(length: Int): Long = if (length == 0) 0L else -1L shl (KEY_BITS - length)

/** Returns whether the prefix ([prefixKey], [prefixLength]) contains the address [key]. */
internal fun prefixContains(prefixKey: Long, prefixLength: Int, key: Long): Boolean =
    (key xor prefixKey) and prefixMask(prefixLength) == 0L
