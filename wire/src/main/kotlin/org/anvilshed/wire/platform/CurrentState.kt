package org.anvilshed.wire.platform

import org.anvilshed.core.bundle.VerifiedBundle

/**
 * The pointer `bundles/current` and the bundle that it names.
 *
 * @property objectVersion version to expect in a conditional update of the pointer.
 * @property version version of the bundle, 0 if there is none.
 * @property verified the bundle, or `null` if there is none or if it cannot be verified, for example because the key of
 * a signer has since been revoked in the settings. The next bundle must have a higher version even then.
 * @property revokedKeys keys that the bundle revokes.
 */
internal class CurrentState(
    val objectVersion: Long,
    val version: Long,
    val verified: VerifiedBundle?,
    val revokedKeys: Set<String>,
)
