package org.anvilshed.wire.platform

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmName
import org.anvilshed.core.bundle.BundleOfferOutcome
import org.anvilshed.core.bundle.BundleState
import org.anvilshed.core.bundle.SignedBundle
import org.anvilshed.core.bundle.VerifiedBundle
import org.anvilshed.core.membership.AdvertisedBundle
import org.anvilshed.core.membership.DisseminationAction
import org.anvilshed.core.membership.DisseminationState

/** The bundle handling of one process of an entry VM. */
class VmProcess(val name: VmName) {
    var state = BundleState()
        private set
    private val dissemination = DisseminationState()

    private val advertised: AdvertisedBundle? get() = state.inForce?.let { AdvertisedBundle(it.version, it.digest) }

    /** Offers [signed] and returns the bundle that comes into force, or `null`. */
    fun offer(signed: SignedBundle): VerifiedBundle? {
        val decision = state.offer(signed, TestBundles.verifier)
        state = decision.state
        val accepted = decision.outcome as? BundleOfferOutcome.CameIntoForce
        return accepted?.bundle?.also { dissemination.onAccepted(it.version) }
    }

    /** Receives a heartbeat of [sender] and returns whether it requests the bundle of the sender. */
    fun requests(sender: VmProcess, now: MonotonicTime): Boolean {
        val action = dissemination.onHeartbeat(sender.name, sender.advertised, advertised, now)
        return action is DisseminationAction.RequestBundle
    }
}
