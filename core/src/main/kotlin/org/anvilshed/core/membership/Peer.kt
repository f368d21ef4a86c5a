package org.anvilshed.core.membership

import org.anvilshed.core.Incarnation
import org.anvilshed.core.MonotonicTime

/**
 * State of one incarnation of a peer, as observed by this process.
 *
 * @property incarnation incarnation of the peer, or `null` if no message of the peer was received.
 * @property lastMessageAt time at which the last message of the incarnation was received, or `null` if there was none.
 */
public data class Peer(
    public val contact: PeerContact,
    public val incarnation: Incarnation?,
    public val state: PeerState,
    public val lastMessageAt: MonotonicTime?,
)
