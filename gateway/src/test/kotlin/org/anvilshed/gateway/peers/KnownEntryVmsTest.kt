package org.anvilshed.gateway.peers

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val START = MonotonicTime(0)

private fun announcement(startedAtMillis: Long, sequence: Long, acceptsCallers: Boolean = true) = Announcement(
    name = "vm-1",
    startedAtMillis = startedAtMillis,
    zone = "zone",
    callers = "127.0.0.1:1",
    control = "127.0.0.1:2",
    acceptsCallers = acceptsCallers,
    sequence = sequence,
    revisions = emptyList(),
    occupiedSlots = emptyMap(),
    peers = emptyList(),
)

class KnownEntryVmsTest :
    FunSpec({
        // Guards against start times that are compared although the clock was set between the two starts.
        test("a process that started after its machine's clock was set back is heard once its predecessor is silent") {
            val known = KnownEntryVms(VmName("self"))
            known.receive(announcement(startedAtMillis = 9_000, sequence = 50), START) shouldBe PeerChange.APPEARED
            val restarted = announcement(startedAtMillis = 7_000, sequence = 1)
            known.receive(restarted, START + 1.seconds) shouldBe PeerChange.IGNORED
            known.receive(restarted, START + 1_500.milliseconds) shouldBe PeerChange.APPEARED
            known.live(START + 1_500.milliseconds).single().announcement shouldBe restarted
        }

        test("an outdated announcement of the same process stays ignored, however long the process is silent") {
            val known = KnownEntryVms(VmName("self"))
            known.receive(announcement(startedAtMillis = 9_000, sequence = 50), START)
            known.receive(announcement(startedAtMillis = 9_000, sequence = 49), START + 5.seconds) shouldBe
                PeerChange.IGNORED
        }

        test("a VM that became silent after it stopped to accept callers sends no more requests to targets") {
            val known = KnownEntryVms(VmName("self"))
            known.receive(announcement(startedAtMillis = 9_000, sequence = 1), START)
            known.possibleSenders(START + 20.seconds) shouldHaveSize 1
            known.receive(announcement(startedAtMillis = 9_000, sequence = 2, acceptsCallers = false), START)
            known.possibleSenders(START + 1.seconds) shouldHaveSize 1
            known.possibleSenders(START + 2.seconds) shouldHaveSize 0
        }
    })
