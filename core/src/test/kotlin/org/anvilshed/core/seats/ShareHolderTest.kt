package org.anvilshed.core.seats

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.anvilshed.core.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val START = MonotonicTime(-1_000_000_000)
private val SETTINGS = ShareSettings(16, 20.seconds, 4.seconds)

/** Process whose actions the test carries out itself. */
private class Process(name: String) {
    val vm = SimulatedVm(name, ZONE_A, SCOPE_OF_ZONE_A, SETTINGS, Random(name.hashCode()), emptyList())
    val holder = vm.holder

    fun next(now: MonotonicTime) = holder.next(now, AppliedShares(holder.refresh(now), fits = true))

    /** Reads [store] and returns the write that follows. */
    fun writeAfterRead(store: SimulatedStore, now: MonotonicTime): LedgerAction.Write {
        next(now) shouldBe LedgerAction.Read
        holder.readFinished(store.read(0), now)
        return next(now).shouldBeInstanceOf<LedgerAction.Write>()
    }

    fun renew(store: SimulatedStore, now: MonotonicTime) {
        val write = writeAfterRead(store, now)
        holder.writeFinished(write.writeId, store.write(write), now)
    }
}

class ShareHolderTest :
    FunSpec({
        test("a lease lasts six seconds from the sending of the write, not from its response") {
            val store = SimulatedStore()
            val process = Process("a")
            val write = process.writeAfterRead(store, START)
            process.holder.usable.isValidAt(START) shouldBe false
            process.holder.writeFinished(write.writeId, store.write(write), START + 3.seconds)
            // Without a monitor, the isolation limit of 20 s follows the lease of 6 s.
            process.holder.usable.fractionAt(START + 26.seconds - 1.milliseconds) shouldBe 1.0
            process.holder.usable.fractionAt(START + 26.seconds) shouldBe 0.0
        }

        test("a write whose response was lost is recognized by its write id, even after another member has written") {
            val store = SimulatedStore()
            val first = Process("a")
            val write = first.writeAfterRead(store, START)
            store.write(write)
            first.holder.writeFinished(write.writeId, LedgerWriteResult.Unknown, START + 1.seconds)
            Process("b").renew(store, START)
            first.holder.readFinished(store.read(0), START + 2.seconds)
            first.holder.usable.isValidAt(START + 2.seconds) shouldBe true
            first.holder.isMember shouldBe true
        }

        test("an update whose response was lost gives no lease if another member's update took effect instead") {
            val store = SimulatedStore()
            val first = Process("a")
            val write = first.writeAfterRead(store, START)
            Process("b").renew(store, START)
            first.holder.writeFinished(write.writeId, LedgerWriteResult.Unknown, START + 1.seconds)
            first.holder.readFinished(store.read(0), START + 2.seconds)
            first.holder.usable.isValidAt(START + 2.seconds) shouldBe false
        }

        test("a rejected retransmission does not end the lease of an update whose first transmission took effect") {
            val store = SimulatedStore()
            val process = Process("a")
            val write = process.writeAfterRead(store, START)
            process.holder.writeFinished(write.writeId, LedgerWriteResult.Unknown, START + 1.seconds)
            process.writeAfterRead(store, START + 2.seconds) shouldBe write
            process.holder.writeFinished(write.writeId, LedgerWriteResult.Rejected, START + 3.seconds)
            store.write(write)
            process.holder.readFinished(store.read(0), START + 4.seconds)
            process.holder.usable.isValidAt(START + 4.seconds) shouldBe true
        }

        test("shares of a removed member are usable only after the longest deadline, also if the response was lost") {
            for (lost in listOf(false, true)) {
                val store = SimulatedStore()
                val ended = Process("a").apply { renew(store, START) }
                val remover = Process("b")
                for (second in 0..6 step 2) remover.renew(store, START + second.seconds)
                repeat(3) { remover.holder.connectionRefused(ended.holder.identity, START + 6.seconds + it.seconds) }
                val removedAt = START + 8.seconds
                val write = remover.writeAfterRead(store, removedAt)
                write.ledger.members.map { it.identity } shouldBe listOf(remover.holder.identity)
                val result = store.write(write)
                remover.holder.grantPeerLease(ended.holder.identity, removedAt) shouldBe false
                remover.holder.writeFinished(write.writeId, if (lost) LedgerWriteResult.Unknown else result, removedAt)
                remover.holder.readFinished(store.read(0), removedAt)
                remover.holder.refresh(removedAt + 4.2.seconds - 1.milliseconds).shares.count shouldBe 0
                remover.holder.refresh(removedAt + 4.2.seconds).shares.count shouldBe 16
            }
        }

        test("two refusals, or three within less than two seconds, do not prove that a process has ended") {
            for (times in listOf(listOf(4.0, 7.0), listOf(5.0, 6.0, 6.9))) {
                val store = SimulatedStore()
                val silent = Process("a").apply { renew(store, START) }
                val other = Process("b")
                for (second in 0..6 step 2) other.renew(store, START + second.seconds)
                times.forEach { other.holder.connectionRefused(silent.holder.identity, START + it.seconds) }
                other.writeAfterRead(store, START + 8.seconds).ledger.members.size shouldBe 2
            }
        }
    })
