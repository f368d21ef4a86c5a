package org.anvilshed.wire.membership

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.bundle.BundleDigest
import org.anvilshed.core.membership.AdvertisedBundle
import org.anvilshed.core.membership.DisseminationAction
import org.anvilshed.core.membership.DisseminationState
import org.anvilshed.core.membership.PeerContact

/** Message that arrives one round after it was sent. */
sealed interface SimulatedMessage {
    data class Heartbeat(val version: Long) : SimulatedMessage

    data class Request(val version: Long) : SimulatedMessage

    data class Reply(val version: Long) : SimulatedMessage
}

/** One VM of the simulation, which uses [DisseminationState] and has a version instead of a bundle. */
class SimulatedVm(val contact: PeerContact, var version: Long) {
    var neighbors: List<SimulatedVm> = emptyList()
    private val dissemination = DisseminationState()

    /** Accepts [newVersion] and returns the messages that announce it. */
    fun accept(newVersion: Long): List<Pair<SimulatedVm, SimulatedMessage>> {
        version = newVersion
        dissemination.onAccepted(newVersion)
        return heartbeats()
    }

    fun heartbeats(): List<Pair<SimulatedVm, SimulatedMessage>> =
        neighbors.map { it to SimulatedMessage.Heartbeat(version) }

    fun receive(
        sender: SimulatedVm,
        message: SimulatedMessage,
        now: MonotonicTime,
    ): List<Pair<SimulatedVm, SimulatedMessage>> = when (message) {
        is SimulatedMessage.Reply -> if (message.version > version) accept(message.version) else emptyList()

        is SimulatedMessage.Request -> listOf(sender to SimulatedMessage.Reply(version))

        is SimulatedMessage.Heartbeat -> {
            val received = advertised(message.version)
            when (val action = dissemination.onHeartbeat(sender.contact.name, received, advertised(version), now)) {
                is DisseminationAction.RequestBundle -> listOf(sender to SimulatedMessage.Request(action.version))
                DisseminationAction.AnnounceOwn -> listOf(sender to SimulatedMessage.Heartbeat(version))
                else -> emptyList()
            }
        }
    }

    private fun advertised(version: Long) = AdvertisedBundle(version, BundleDigest("d$version"))
}
