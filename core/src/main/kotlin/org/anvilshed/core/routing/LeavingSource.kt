package org.anvilshed.core.routing

/** Source that reports a target as leaving. A target is leaving while at least one source reports it. */
public enum class LeavingSource {
    /** The bundle in force lists the target as leaving. */
    BUNDLE,

    /** The time at which the bundle plans the target to leave has come. */
    PLANNED_TIME,

    /** The platform's VM list shows the target as leaving. */
    VM_LIST,

    /** A health report of the target says `draining`. */
    HEALTH,

    /** The target answered a request with `Draining`. */
    ANSWER,

    /** A peer announced the target as leaving. */
    PEER,

    /** The bundle in force does not list the target, or lists it with another service, zone or address. */
    REMOVED,
    ;

    internal val bit: Int
        get() = 1 shl ordinal
}
