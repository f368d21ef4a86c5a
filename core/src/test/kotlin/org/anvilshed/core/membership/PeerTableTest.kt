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

        fun table() = PeerTable(self)

        test("states change at the limits of 2 s and 6 s") {
            val table = table()
            table.recordMessage(peer, first, isLeaving = false, start)
            val states = mapOf(
                2.seconds to PeerState.ALIVE,
                2.seconds + 1.nanoseconds to PeerState.SUSPECT,
                6.seconds to PeerState.SUSPECT,
                6.seconds + 1.nanoseconds to PeerState.UNREACHABLE,
            )
            for ((age, state) in states) table.stateOrNull(identity, start + age) shouldBe state
        }

        test("a leaving incarnation stays leaving when an older heartbeat arrives, and its replacement is alive") {
            val table = table()
            table.recordMessage(peer, first, isLeaving = true, start)
            table.recordMessage(peer, first, isLeaving = false, start)
            table.stateOrNull(identity, start) shouldBe PeerState.LEAVING
            table.liveNames(peer.zone, start).shouldBeEmpty()
            table.recordMessage(peer, second, isLeaving = false, start + 1.milliseconds)
            table.liveNames(peer.zone, start + 1.milliseconds) shouldContainExactly listOf(peer.name)
            table.stateOrNull(identity, start + 7.seconds) shouldBe PeerState.UNREACHABLE
        }

        test("two incarnations of one name have separate states") {
            val table = table()
            table.recordMessage(peer, first, isLeaving = false, start)
            table.recordMessage(peer, second, isLeaving = false, start + 5.seconds)
            val states = table.peers(start + 7.seconds).associate { it.incarnation to it.state }
            states shouldBe mapOf(first to PeerState.UNREACHABLE, second to PeerState.ALIVE)
        }

        test("a VM that sends messages is not removed when the platform's list no longer names it") {
            val table = table()
            table.replaceListed(listOf(peer), start)
            table.recordMessage(peer, first, isLeaving = false, start)
            table.replaceListed(emptyList(), start + 1.seconds)
            table.removeExpired(start + 9.minutes)
            table.recordMessage(peer, first, isLeaving = false, start + 9.minutes)
            table.removeExpired(start + 18.minutes)
            table.stateOrNull(identity, start + 9.minutes) shouldBe PeerState.ALIVE
            table.contacts() shouldContainExactly listOf(peer)
        }

        test("a silent VM is removed after 10 minutes unless the platform's list or the settings name it") {
            val table = table()
            val listed = contact("a-3")
            val seed = contact("a-4")
            table.addSeed(seed, start)
            table.replaceListed(listOf(listed), start)
            table.recordMessage(peer, first, isLeaving = false, start)
            table.removeExpired(start + 10.minutes)
            table.contacts().size shouldBe 3
            table.removeExpired(start + 10.minutes + 1.nanoseconds)
            table.contacts() shouldContainExactly listOf(seed, listed)
            table.stateOrNull(identity, start + 11.minutes).shouldBeNull()
        }

        test("an address reported by another peer does not replace the address that a VM announced itself") {
            val table = table()
            table.recordMessage(peer, first, isLeaving = false, start)
            table.addReported(contact("a-2", address = "127.0.0.1:9"), start + 1.seconds)
            table.contacts().single().address shouldBe "127.0.0.1:1"
            table.recordMessage(contact("a-2", address = "127.0.0.1:9"), second, isLeaving = false, start + 2.seconds)
            table.contacts().single().address shouldBe "127.0.0.1:9"
        }

        test("neither this VM nor its former process is added as a peer") {
            val table = table()
            table.recordMessage(contact("a-1"), Incarnation(7), isLeaving = false, start)
            table.addSeed(contact("a-1"), start)
            table.contacts().shouldBeEmpty()
        }

        test("a peer that does not answer is tried again after a pause, so that links are restored after a partition") {
            val table = table()
            table.addReported(peer, start)
            table.peers(start).single().state shouldBe PeerState.KNOWN
            var now = start
            val tried = mutableListOf<Long>()
            repeat(160) {
                if (table.neighborCandidates(now).isNotEmpty()) {
                    table.recordAttempt(peer.name, now)
                    tried += (now - start).inWholeSeconds
                }
                now += 500.milliseconds
            }
            tried.toSet() shouldBe ((0L..6L) + (36L..42L) + (73L..79L)).toSet()
            table.recordMessage(peer, first, isLeaving = false, now)
            table.neighborCandidates(now + 3.seconds) shouldContainExactly listOf(peer)
        }
    })
