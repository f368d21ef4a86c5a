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
 * Only the process [owner] may dispatch the request, so no two processes can both run it.
 *
 * @property owner process that issued the token and that alone may dispatch the request.
 * @property window number of the owner's identifier window; see [IdentifierWindows].
 * @property nonce 8 to 64 characters of `[A-Za-z0-9_-]` chosen by the caller, unique per request.
 * @throws IllegalArgumentException if [window] is negative or [nonce] has another form.
 */
public data class RequestIdentifier(public val owner: VmIdentity, public val window: Long, public val nonce: String) {
    init {
        require(window >= 0) { "window $window is negative" }
        require(NONCE_PATTERN.matches(nonce)) {
            "nonce '$nonce' has another form than $MINIMUM_NONCE_LENGTH to $MAXIMUM_NONCE_LENGTH of [A-Za-z0-9_-]"
        }
    }

    override fun toString(): String = "${formatToken(owner, window)}.$nonce"
}

/** Returns the token `<vm>.<incarnation>.<window>` that look-ups hand out; a caller appends `.<nonce>`. */
public fun formatToken(owner: VmIdentity, window: Long): String = "$owner.$window"

/**
 * Returns the identifier written in [text], or `null` if [text] has another form.
 *
 * Only the form that [RequestIdentifier.toString] writes is read, so that two texts never name one request.
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
 * Returns the identifier written in [text].
 *
 * @throws IllegalArgumentException if [text] has another form; see [parseRequestIdentifierOrNull].
 */
public fun parseRequestIdentifier(text: String): RequestIdentifier =
    requireNotNull(parseRequestIdentifierOrNull(text)) {
        "'$text' is not a request identifier: expected <vm>.<incarnation>.<window>.<nonce>"
    }
