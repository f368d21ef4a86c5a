package org.anvilshed.core.membership

import org.anvilshed.core.Incarnation
import org.anvilshed.core.MonotonicTime

/**
 * One incarnation of a peer as this process sees it.
 *
 * @property incarnation `null` if the peer was never heard.
 * @property lastMessageAt time of the last message from it, `null` if there was none.
 */
public data class Peer(
    public val contact: PeerContact,
    public val incarnation: Incarnation?,
    public val state: PeerState,
    public val lastMessageAt: MonotonicTime?,
)
