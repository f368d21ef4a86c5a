package org.anvilshed.wire.platform

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmName
import org.anvilshed.core.bundle.BundleOutcome
import org.anvilshed.core.bundle.BundleState
import org.anvilshed.core.bundle.SignedBundle
import org.anvilshed.core.bundle.VerifiedBundle
import org.anvilshed.core.membership.AdvertisedBundle
import org.anvilshed.core.membership.DisseminationAction
import org.anvilshed.core.membership.DisseminationState

/** One process of an entry VM, as far as bundles go. */
class VmProcess(val name: VmName) {
    var state = BundleState()
        private set
    private val dissemination = DisseminationState()

    private val advertised: AdvertisedBundle? get() = state.inForce?.let { AdvertisedBundle(it.version, it.digest) }

    /** Offers [signed] and returns the bundle that comes into force, if any. */
    fun offer(signed: SignedBundle): VerifiedBundle? {
        val decision = state.offer(signed, TestBundles.verifier)
        state = decision.state
        return (decision.outcome as? BundleOutcome.CameIntoForce)?.bundle?.also { dissemination.onAccepted(it.version) }
    }

    /** Receives a heartbeat of [sender] and returns the bundle that it requested and took, if any. */
    fun onHeartbeat(sender: VmProcess, isReplyLost: Boolean, now: MonotonicTime): VerifiedBundle? {
        val action = dissemination.onHeartbeat(sender.name, sender.advertised, advertised, now)
        val reply = sender.state.inForce?.signed
        if (action !is DisseminationAction.RequestBundle || isReplyLost || reply == null) return null
        return offer(reply) ?: null.also { dissemination.onRejected(sender.name, action.version, now) }
    }
}
