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

/**
 * Position of one content of an object among all contents that its writer stored under the name, by the content itself.
 * Unlike a revision, it also orders contents from before and after the store was restored.
 *
 * @property lifetime start of the writer that stored the content; 0 if its writer has no such notion.
 * @property sequence position among the contents that this writer stored since its start.
 */
public data class ContentVersion(public val lifetime: Long, public val sequence: Long) : Comparable<ContentVersion> {
    override fun compareTo(other: ContentVersion): Int = compareValuesBy(this, other, { it.lifetime }, { it.sequence })
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
