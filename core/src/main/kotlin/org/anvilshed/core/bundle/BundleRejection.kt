package org.anvilshed.core.bundle

/**
 * Why a bundle was not accepted.
 *
 * @property label value of a metric label.
 */
public enum class BundleRejection(public val label: String) {
    TOO_LARGE("too-large"),
    INVALID_DOCUMENT("invalid-document"),
    UNKNOWN_OPERATOR("unknown-operator"),
    REVOKED_OPERATOR("revoked-operator"),
    FORGED_AUTHOR_SIGNATURE("forged-author-signature"),
    NOT_SIGNED_OFF("not-signed-off"),
    SAME_OPERATOR("same-operator"),
    FORGED_SIGN_OFF("forged-sign-off"),
    OLDER_VERSION("older-version"),
    OTHER_DIGEST("other-digest"),
}
