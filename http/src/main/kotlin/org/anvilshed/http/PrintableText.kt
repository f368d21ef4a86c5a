package org.anvilshed.http

private val PRINTABLE = ' '..'~'
private const val BYTE_MASK = 0xff

/** Returns [char] if it is printable ASCII, and its lower byte as `\xNN` otherwise. */
public fun printable(char: Char): String =
    if (char in PRINTABLE) char.toString() else "\\x%02x".format(char.code and BYTE_MASK)
