package org.anvilshed.gateway.peers

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import org.anvilshed.core.fleet.StoreContact
import org.anvilshed.gateway.DecisionLog
import org.anvilshed.gateway.store.StoreContinuity
import org.anvilshed.gateway.store.StoreEvent
import org.anvilshed.gateway.store.StoreFeed
import org.anvilshed.gateway.store.StoreFeedListener
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.store.StoreListing
import org.anvilshed.gateway.store.StoreObject
import org.anvilshed.gateway.store.StoreRevision
import org.anvilshed.gateway.systemClock
import org.anvilshed.gateway.testbed.InMemoryStore
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time until a peer's copy is here: a change must take effect within 2.5 s, and the announcement takes 0.4 s. */
private val ADOPTION_BOUND = 2.seconds

private val IGNORED = object : StoreFeedListener {
    override fun listed(objects: List<StoreObject>, continuity: StoreContinuity) = Unit

    override fun changed(events: List<StoreEvent>, continuity: StoreContinuity) = Unit
}

private fun feed(): StoreFeed {
    val contact = StoreContact { 1.seconds }
    val log = DecisionLog(systemClock)
    return StoreFeed(StoreKind.TARGETS, InMemoryStore(), IGNORED, { 6.seconds }, { null }, contact, log, systemClock)
        .apply { adopt(StoreListing(emptyList(), StoreRevision(0, 10))) }
}

/** A VM that announces revision 20 of the targets. */
private fun peer(name: String, receivedAt: MonotonicTime = systemClock()): PeerVm {
    val control = SocketAddress(name, 1)
    val revisions = StoreKind.entries.map { if (it == StoreKind.TARGETS) 20L else -1L }
    val announcement =
        Announcement(name, 1, "zone", "$control", "$control", true, 1, revisions, emptyMap(), emptyList())
    return PeerVm(VmName(name), ZoneName("zone"), control, control, announcement, receivedAt)
}

class FeedCatchUpTest :
    FunSpec({
        // Guards against one fetch at a time from whichever peer announced the change first.
        test("a peer that does not respond delays the copy of another peer only within the bound") {
            val feed = feed()
            coroutineScope {
                val catchUp = FeedCatchUp(
                    scope = this,
                    feeds = mapOf(StoreKind.TARGETS to feed),
                    onFault = { throw it },
                    fetchOrNull = { control, _ ->
                        if (control.host.startsWith("silent")) {
                            delay(PeerSnapshots.CALL_TIMEOUT)
                            null
                        } else {
                            StoreListing(emptyList(), StoreRevision(0, 20))
                        }
                    },
                    configVersion = { AnnouncedStore.NO_CONFIG },
                    log = DecisionLog(systemClock),
                )
                val startedAt = systemClock()
                for (name in listOf("silent-1", "silent-2", "well")) {
                    catchUp.fetchNewer(peer(name))
                    delay(20.milliseconds)
                }
                while (feed.changedRevision.number < 20 && systemClock() - startedAt < ADOPTION_BOUND) {
                    delay(400.milliseconds)
                    for (name in listOf("silent-1", "silent-2", "well")) catchUp.fetchNewer(peer(name))
                }
            }
            feed.changedRevision shouldBe StoreRevision(0, 20)
        }
    })
