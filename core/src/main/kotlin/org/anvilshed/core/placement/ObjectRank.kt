package org.anvilshed.core.placement

/**
 * Rank of a target in the order in which VMs prefer targets for an object.
 *
 * @property initialHitRate probability, from 0 to 1, that the target has the object cached; used until answers show it.
 */
internal enum class ObjectRank(val initialHitRate: Double) {
    /** This VM sent the object to the target recently. */
    SENT(0.9),

    /** First choice of all VMs of the region. */
    FIRST(0.7),

    /** Second choice of all VMs of the region. */
    SECOND(0.3),

    /** First or second choice among the targets of other regions. */
    REMOTE(0.3),

    /** Not among the choices of any VM: the object would evict another one from the target's cache. */
    OTHER(0.0),

    /** The request concerns no object that targets could cache. */
    ANY(0.0),
}
