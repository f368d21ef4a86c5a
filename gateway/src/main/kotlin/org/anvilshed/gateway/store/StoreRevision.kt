package org.anvilshed.gateway.store

/**
 * Position in the changes of the store.
 *
 * @property era number of times that the store was restored from an older copy; 0 if the store does not state it. A
 *   restored store assigns the numbers of the changes that it lost again.
 * @property number position of the change within the era.
 */
public data class StoreRevision(public val era: Long, public val number: Long) : Comparable<StoreRevision> {
    override fun compareTo(other: StoreRevision): Int = compareValuesBy(this, other, { it.era }, { it.number })

    override fun toString(): String = "$era/$number"

    public companion object {
        /** Before all changes; used until the first listing. */
        public val NONE: StoreRevision = StoreRevision(-1, -1)
    }
}

/** How the content of the store follows from what was known of it before. */
public enum class StoreContinuity {
    /** All changes were seen. */
    CONTINUOUS,

    /** The store was unreachable: entries may have expired only because their owners could not renew them. */
    INTERRUPTED,

    /** The store was restored from an older copy: it may lack changes, until their writers write them again. */
    RESTORED,
}
