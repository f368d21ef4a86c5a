package org.anvilshed.core.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmName
import org.anvilshed.core.bundle.BundleDigest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun advertised(version: Long, digest: String = "d$version") = AdvertisedBundle(version, BundleDigest(digest))

class DisseminationStateTest :
    FunSpec({
        val start = MonotonicTime(0)
        val a = VmName("a")
        val b = VmName("b")
        val none = DisseminationAction.None

        test("a VM without a bundle requests any advertised bundle, and a VM with the same bundle requests nothing") {
            val state = DisseminationState()
            state.onHeartbeat(a, null, null, start) shouldBe none
            state.onHeartbeat(a, advertised(1), advertised(1), start) shouldBe none
            state.onHeartbeat(a, advertised(1), null, start) shouldBe DisseminationAction.RequestBundle(1)
        }

        test("a version is requested once in a burst of heartbeats, and from another peer if no reply arrives") {
            val state = DisseminationState()
            state.onHeartbeat(a, advertised(2), advertised(1), start) shouldBe DisseminationAction.RequestBundle(2)
            state.onHeartbeat(b, advertised(2), advertised(1), start + 1.seconds) shouldBe none
            state.onHeartbeat(b, advertised(2), advertised(1), start + 1.seconds + 1.milliseconds) shouldBe
                DisseminationAction.RequestBundle(2)
        }

        test("a peer that advertises a version that it cannot deliver does not block the request for a valid version") {
            val state = DisseminationState()
            state.onHeartbeat(a, advertised(99), advertised(1), start) shouldBe DisseminationAction.RequestBundle(99)
            state.onHeartbeat(b, advertised(2), advertised(1), start) shouldBe DisseminationAction.RequestBundle(2)
            state.onRejected(a, 99, start)
            state.onHeartbeat(a, advertised(99), advertised(1), start + 30.seconds) shouldBe none
            state.onHeartbeat(b, advertised(99), advertised(1), start + 30.seconds) shouldBe
                DisseminationAction.RequestBundle(99)
            state.onHeartbeat(a, advertised(99), advertised(1), start + 32.seconds) shouldBe
                DisseminationAction.RequestBundle(99)
        }

        test("after a rejected reply the version is requested from another peer immediately") {
            val state = DisseminationState()
            state.onHeartbeat(a, advertised(2), advertised(1), start)
            state.onRejected(a, 2, start + 1.milliseconds)
            state.onHeartbeat(b, advertised(2), advertised(1), start + 2.milliseconds) shouldBe
                DisseminationAction.RequestBundle(2)
        }

        test("a sender with an older bundle is sent a heartbeat, at most once per interval") {
            val state = DisseminationState()
            state.onHeartbeat(a, null, advertised(1), start) shouldBe DisseminationAction.AnnounceOwn
            state.onHeartbeat(a, null, advertised(1), start + 499.milliseconds) shouldBe none
            state.onHeartbeat(b, null, advertised(1), start + 499.milliseconds) shouldBe DisseminationAction.AnnounceOwn
            state.onHeartbeat(a, null, advertised(1), start + 500.milliseconds) shouldBe DisseminationAction.AnnounceOwn
        }

        test("another digest of the version in force is reported and not requested") {
            val conflicting = advertised(1, "other")
            DisseminationState().onHeartbeat(a, conflicting, advertised(1), start) shouldBe
                DisseminationAction.OtherDigest(conflicting)
        }
    })
