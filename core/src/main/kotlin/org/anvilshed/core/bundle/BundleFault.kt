package org.anvilshed.core.bundle

/**
 * One fault of a bundle document.
 *
 * @property path position in the document, for example `targets[3].slots`; empty for the document as a whole.
 * @property message what is wrong, with the allowed values.
 */
public data class BundleFault(public val path: String, public val message: String) {
    override fun toString(): String = if (path.isEmpty()) message else "$path: $message"
}
