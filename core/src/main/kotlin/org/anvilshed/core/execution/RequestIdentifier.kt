package org.anvilshed.core.execution

import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.core.isValidName
import org.anvilshed.core.parseIncarnationOrNull

private const val MINIMUM_NONCE_LENGTH = 8
private const val MAXIMUM_NONCE_LENGTH = 64
private const val PARTS = 4
private val NONCE_PATTERN = Regex("[A-Za-z0-9_-]{$MINIMUM_NONCE_LENGTH,$MAXIMUM_NONCE_LENGTH}")

/**
 * Identifier of a non-idempotent request: `<vm>.<incarnation>.<window>.<nonce>`.
 *
 * Only the process [owner] may dispatch the request, so that two processes cannot both run it.
 *
 * @property owner process that issued the token.
 * @property window number of the owner's identifier window; see [IdentifierWindows].
 * @property nonce 8 to 64 characters of `[A-Za-z0-9_-]` chosen by the caller, unique per request.
 * @throws IllegalArgumentException if [window] is negative or [nonce] is not of that form.
 */
public data class RequestIdentifier(public val owner: VmIdentity, public val window: Long, public val nonce: String) {
    init {
        require(window >= 0) { "window $window is negative" }
        require(NONCE_PATTERN.matches(nonce)) {
            "nonce '$nonce' does not consist of $MINIMUM_NONCE_LENGTH to $MAXIMUM_NONCE_LENGTH of [A-Za-z0-9_-]"
        }
    }

    override fun toString(): String = "${formatToken(owner, window)}.$nonce"
}

/** Returns the token `<vm>.<incarnation>.<window>` that lookup answers contain; a caller appends `.<nonce>`. */
public fun formatToken(owner: VmIdentity, window: Long): String = "$owner.$window"

/**
 * Parses [text] as a request identifier, or returns `null` if it is malformed.
 *
 * Only the form that [RequestIdentifier.toString] writes is accepted: two texts for the same request would lead to two
 * records, and the request could run twice.
 */
public fun parseRequestIdentifierOrNull(text: String): RequestIdentifier? {
    val parts = text.split('.')
    if (parts.size != PARTS || !isValidName(parts[0]) || !NONCE_PATTERN.matches(parts[3])) return null
    val incarnation = parseIncarnationOrNull(parts[1]) ?: return null
    val window = parts[2].toLongOrNull()?.takeIf { it >= 0 } ?: return null
    return RequestIdentifier(VmIdentity(VmName(parts[0]), incarnation), window, parts[3])
        .takeIf { it.toString() == text }
}

/**
 * Parses [text] as a request identifier.
 *
 * @throws IllegalArgumentException if [text] is malformed; see [parseRequestIdentifierOrNull].
 */
public fun parseRequestIdentifier(text: String): RequestIdentifier =
    requireNotNull(parseRequestIdentifierOrNull(text)) {
        "'$text' is not a request identifier: expected <vm>.<incarnation>.<window>.<nonce>"
    }
