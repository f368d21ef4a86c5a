package org.anvilshed.gateway.store

/**
 * Position of one content of an object among all contents that its writer stored under the name, by the content itself.
 *
 * Unlike a revision, it also orders contents from before and after the store was restored, and contents that the store
 * writes later than their writer sent them.
 *
 * @property lifetime start of the writer that stored the content; 0 if its writer has no such notion.
 * @property sequence position among the contents that this writer stored since its start.
 * @property endsLifetime whether the writer states that its lifetime ends, which it never takes back.
 */
public data class ContentVersion(
    public val lifetime: Long,
    public val sequence: Long,
    public val endsLifetime: Boolean = false,
) {
    /** Returns how a content of this version relates to one of the version [other]. */
    internal fun compareWith(other: ContentVersion): ContentOrder = when {
        lifetime > other.lifetime -> ContentOrder.NEWER

        // The former process, or a new one whose clock was set back.
        lifetime < other.lifetime -> ContentOrder.UNCLEAR

        endsLifetime != other.endsLifetime -> if (endsLifetime) ContentOrder.NEWER else ContentOrder.OLDER

        sequence > other.sequence -> ContentOrder.NEWER

        sequence == other.sequence -> ContentOrder.SAME

        // An earlier content, or the next one after that of another writer who invented a high sequence.
        else -> ContentOrder.UNCLEAR
    }
}

/** How one content of an object relates to another one. */
internal enum class ContentOrder {
    /** It was made after the other one. */
    NEWER,

    /** Both are the same content. */
    SAME,

    /** It was made before the other one. */
    OLDER,

    /** It may have been made before the other one. */
    UNCLEAR,
}
