package org.anvilshed.gateway.peers

import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.store.StoreRevision
import kotlin.time.Duration

/**
 * What a VM knows of the store.
 *
 * @property revisions revision of the last change of each kind that the VM knows, by [StoreKind.ordinal].
 * @property configVersion version of the config in force, or [NO_CONFIG].
 * @property responseAge time since the store last responded to the VM, or `null` if that is not known.
 */
public data class AnnouncedStore(
    public val revisions: List<StoreRevision>,
    public val configVersion: Long,
    public val responseAge: Duration?,
) {
    /** Eras of [revisions], or none if the store states no era. */
    internal val eras: List<Long>
        get() = revisions.map { it.era.coerceAtLeast(0) }.takeIf { eras -> eras.any { it > 0 } }.orEmpty()

    public companion object {
        /** [configVersion] of a VM that has no config. */
        public const val NO_CONFIG: Long = -1

        /** Announced instead of [responseAge] if it is not known. */
        internal const val NO_RESPONSE: Long = -1
    }
}
