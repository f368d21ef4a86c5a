package org.anvilshed.gateway.targets

/**
 * Longest name of a target in bytes. Servers commonly refuse a request whose header section is longer than 8 KB, and
 * the fields of the caller need room as well.
 */
private const val MAXIMUM_NAME_BYTES = 4_096
private const val WHITE_SPACE = " \t"
private const val DELETE = '\u007F'

/**
 * Returns the value of the header field that carries [name] to the target of that name, or `null` if there is none.
 *
 * The value has one character for each byte of the UTF-8 form of [name]. It must arrive unchanged, or another target
 * could take it for its own name. A field value that is empty, contains control characters, or begins or ends with
 * white space does not (RFC 9110, section 5.5).
 */
internal fun targetNameFieldOrNull(name: String): String? {
    if (name.isEmpty() || name.first() in WHITE_SPACE || name.last() in WHITE_SPACE) return null
    if (name.any { (it < ' ' && it != '\t') || it == DELETE }) return null
    // A surrogate without its pair has no UTF-8 form.
    if (!Charsets.UTF_8.newEncoder().canEncode(name)) return null
    val bytes = name.toByteArray(Charsets.UTF_8)
    return if (bytes.size <= MAXIMUM_NAME_BYTES) String(bytes, Charsets.ISO_8859_1) else null
}
