package org.anvilshed.core.routing

/** What said that a target is leaving. A target is leaving while at least one source says so. */
public enum class LeavingSource {
    /** The bundle in force lists the target as leaving. */
    BUNDLE,

    /** Its planned time to leave has come. */
    PLANNED_TIME,

    /** The platform's VM list shows it as leaving. */
    VM_LIST,

    /** Its health answer says `draining`. */
    HEALTH,

    /** It answered a request with `Draining`. */
    ANSWER,

    /** A peer announced it as leaving. */
    PEER,

    /** The bundle in force does not list it, or lists it with another address. */
    REMOVED,
    ;

    internal val bit: Int
        get() = 1 shl ordinal
}
