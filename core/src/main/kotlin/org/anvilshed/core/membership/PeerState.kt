package org.anvilshed.core.membership

/** State of one incarnation of a peer, judged by the age of the last message from it. */
public enum class PeerState {
    /** Known from other sources only: no message from it was received, and no attempt to reach it has failed yet. */
    KNOWN,

    /** The last message was received within [ALIVE_LIMIT]. */
    ALIVE,

    /** No message was received for longer than [ALIVE_LIMIT]. */
    SUSPECT,

    /** No message, or no answer to the attempts to reach it, was received for longer than [REACHABLE_LIMIT]. */
    UNREACHABLE,

    /** The last message was received within [REACHABLE_LIMIT], and the incarnation declared that it is leaving. */
    LEAVING,
}
