package org.anvilshed.core.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import org.anvilshed.core.Incarnation
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

private val start = MonotonicTime(0)
private val self = VmIdentity(VmName("a-1"), Incarnation(1))
private val first = Incarnation(11)
private val second = Incarnation(12)

private fun contact(name: String, zone: String = "a", address: String = "127.0.0.1:1"): PeerContact =
    PeerContact(VmName(name), ZoneName(zone), address)

class PeerTableTest :
    FunSpec({
        val peer = contact("a-2")
        val identity = VmIdentity(peer.name, first)

        fun view() = PeerTable(self)

        test("states change at the limits of 2 s and 6 s") {
            val view = view()
            view.recordMessage(peer, first, isLeaving = false, start)
            val states = mapOf(
                2.seconds to PeerState.ALIVE,
                2.seconds + 1.nanoseconds to PeerState.SUSPECT,
                6.seconds to PeerState.SUSPECT,
                6.seconds + 1.nanoseconds to PeerState.UNREACHABLE,
            )
            for ((age, state) in states) view.stateOrNull(identity, start + age) shouldBe state
        }

        test("a leaving incarnation stays leaving when an older heartbeat arrives, and its replacement is alive") {
            val view = view()
            view.recordMessage(peer, first, isLeaving = true, start)
            view.recordMessage(peer, first, isLeaving = false, start)
            view.stateOrNull(identity, start) shouldBe PeerState.LEAVING
            view.liveNames(peer.zone, start).shouldBeEmpty()
            view.recordMessage(peer, second, isLeaving = false, start + 1.milliseconds)
            view.liveNames(peer.zone, start + 1.milliseconds) shouldContainExactly listOf(peer.name)
            view.stateOrNull(identity, start + 7.seconds) shouldBe PeerState.UNREACHABLE
        }

        test("two incarnations of one name are judged apart") {
            val view = view()
            view.recordMessage(peer, first, isLeaving = false, start)
            view.recordMessage(peer, second, isLeaving = false, start + 5.seconds)
            val states = view.peers(start + 7.seconds).associate { it.incarnation to it.state }
            states shouldBe mapOf(first to PeerState.UNREACHABLE, second to PeerState.ALIVE)
        }

        test("a list that says gone does not remove a VM that is heard") {
            val view = view()
            view.replaceListed(listOf(peer), start)
            view.recordMessage(peer, first, isLeaving = false, start)
            view.replaceListed(emptyList(), start + 1.seconds)
            view.removeExpired(start + 9.minutes)
            view.recordMessage(peer, first, isLeaving = false, start + 9.minutes)
            view.removeExpired(start + 18.minutes)
            view.stateOrNull(identity, start + 9.minutes) shouldBe PeerState.ALIVE
            view.contacts() shouldContainExactly listOf(peer)
        }

        test("a silent VM is forgotten after 10 minutes unless a list or the settings name it") {
            val view = view()
            val listed = contact("a-3")
            val seed = contact("a-4")
            view.addSeed(seed, start)
            view.replaceListed(listOf(listed), start)
            view.recordMessage(peer, first, isLeaving = false, start)
            view.removeExpired(start + 10.minutes)
            view.contacts().size shouldBe 3
            view.removeExpired(start + 10.minutes + 1.nanoseconds)
            view.contacts() shouldContainExactly listOf(seed, listed)
            view.stateOrNull(identity, start + 11.minutes).shouldBeNull()
        }

        test("hearsay does not replace the address that a VM told itself") {
            val view = view()
            view.recordMessage(peer, first, isLeaving = false, start)
            view.addReported(contact("a-2", address = "127.0.0.1:9"), start + 1.seconds)
            view.contacts().single().address shouldBe "127.0.0.1:1"
            view.recordMessage(contact("a-2", address = "127.0.0.1:9"), second, isLeaving = false, start + 2.seconds)
            view.contacts().single().address shouldBe "127.0.0.1:9"
        }

        test("a VM never takes itself or its former process for a peer") {
            val view = view()
            view.recordMessage(contact("a-1"), Incarnation(7), isLeaving = false, start)
            view.addSeed(contact("a-1"), start)
            view.contacts().shouldBeEmpty()
        }

        test("a peer that does not answer is left alone and then tried again, so that links form after a partition") {
            val view = view()
            view.addReported(peer, start)
            view.peers(start).single().state shouldBe PeerState.KNOWN
            var now = start
            val tried = mutableListOf<Long>()
            repeat(160) {
                if (view.neighborCandidates(now).isNotEmpty()) {
                    view.recordAttempt(peer.name, now)
                    tried += (now - start).inWholeSeconds
                }
                now += 500.milliseconds
            }
            tried.toSet() shouldBe ((0L..6L) + (36L..42L) + (73L..79L)).toSet()
            view.recordMessage(peer, first, isLeaving = false, now)
            view.neighborCandidates(now + 3.seconds) shouldContainExactly listOf(peer)
        }
    })
