package org.anvilshed.wire.platform

import org.anvilshed.core.bundle.Bundle
import org.anvilshed.core.bundle.BundleRejection

/** Returns why [bundle] may not follow [current] because of its version, or `null`. */
internal fun versionFault(bundle: Bundle, current: CurrentState): ProcedureFailure.Rejected? {
    if (bundle.version > current.version) return null
    val message = "version ${bundle.version} is not higher than version ${current.version}, which is in force; " +
        "use version ${current.version + 1} or higher"
    return ProcedureFailure.Rejected(BundleRejection.OLDER_VERSION, message)
}

/**
 * Returns why [bundle] may not follow [current] because it drops revoked keys, or `null`.
 *
 * A VM that missed some bundles rejects signatures with keys that are revoked by the bundle that it has in force. If a
 * revoked key could be used again later, such a VM would reject the newest bundle forever.
 */
internal fun revocationFault(bundle: Bundle, current: CurrentState): ProcedureFailure.Rejected? {
    val dropped = current.revokedKeys - bundle.revokedKeys
    if (dropped.isEmpty()) return null
    val names = dropped.sorted().joinToString()
    val message = "revoked_keys must keep $names, which version ${current.version} revokes; " +
        "give the operator a new key under a new name instead"
    return ProcedureFailure.Rejected(BundleRejection.INVALID_DOCUMENT, message)
}

/** Returns why [bundle] may not be stored in the record of [version], or `null`. */
internal fun recordFault(version: Long, bundle: Bundle): ProcedureFailure.Rejected? {
    if (bundle.version == version) return null
    val message = "the record of version $version holds a document of version ${bundle.version}"
    return ProcedureFailure.Rejected(BundleRejection.INVALID_DOCUMENT, message)
}
