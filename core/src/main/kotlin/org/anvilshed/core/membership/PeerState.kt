package org.anvilshed.core.membership

/** State of one incarnation of a peer, judged by the age of the last message from it. */
public enum class PeerState {
    /** Told by others, never heard by this process, and no attempt to reach it has failed yet. */
    KNOWN,

    /** Heard within [ALIVE_LIMIT]. */
    ALIVE,

    /** Silent for longer than [ALIVE_LIMIT]. */
    SUSPECT,

    /** Silent, or not answering the attempts to reach it, for longer than [REACHABLE_LIMIT]. */
    UNREACHABLE,

    /** Heard within [REACHABLE_LIMIT], and it has declared that it is leaving. */
    LEAVING,
}
