package org.anvilshed.core.placement

/**
 * Place of a target in the order in which VMs prefer targets for an object.
 *
 * @property firstHitRate probability that the target knows the object, before any answer tells.
 */
internal enum class ObjectRank(val firstHitRate: Double) {
    /** This VM sent the object there recently. */
    SENT(0.9),

    /** First choice of all VMs of the region. */
    FIRST(0.7),

    /** Second choice of all VMs of the region. */
    SECOND(0.3),

    /** First or second choice in other regions. */
    REMOTE(0.3),

    /** No choice of anybody: the object would take the place of another one there. */
    OTHER(0.0),

    /** The request concerns no object that targets could keep. */
    ANY(0.0),
}
