package org.anvilshed.core

import kotlinx.serialization.Serializable

private const val HEXADECIMAL_DIGITS = 16
private const val HEXADECIMAL_RADIX = 16

/**
 * Random number that a daemon process generates at startup, so that it can be told apart from every other process of
 * the same name.
 *
 * The text form has 16 hexadecimal digits; [parseIncarnationOrNull] reads it.
 */
@Serializable
@JvmInline
public value class Incarnation(public val value: Long) {
    override fun toString(): String = value.toULong().toString(HEXADECIMAL_RADIX).padStart(HEXADECIMAL_DIGITS, '0')
}

/** Returns the incarnation written as 16 lower-case hexadecimal digits in [text], or `null` for any other text. */
public fun parseIncarnationOrNull(text: String): Incarnation? = text
    .takeIf { it.length == HEXADECIMAL_DIGITS && it.all { digit -> digit in '0'..'9' || digit in 'a'..'f' } }
    ?.toULongOrNull(HEXADECIMAL_RADIX)
    ?.let { Incarnation(it.toLong()) }

/**
 * Returns the incarnation written in [text].
 *
 * @throws IllegalArgumentException if [text] does not have 16 hexadecimal digits; see [parseIncarnationOrNull].
 */
public fun parseIncarnation(text: String): Incarnation = requireNotNull(parseIncarnationOrNull(text)) {
    "'$text' is not an incarnation: expected 16 lower-case hexadecimal digits"
}
