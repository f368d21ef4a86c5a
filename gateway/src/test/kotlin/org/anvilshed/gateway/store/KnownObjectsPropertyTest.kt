package org.anvilshed.gateway.store

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.vertx.core.json.JsonObject
import org.anvilshed.core.MonotonicTime
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Histories that showed faults of earlier rules, besides the first ones; 20,000 and more are run by hand. */
private val FORMER_FAULTS = listOf(329, 346, 4018, 11_819)
private val SEEDS = FORMER_FAULTS + (1..System.getProperty("anvilshed.histories", "300").toInt())
private val STEP = 100.milliseconds
private val REPORT_PERIOD = 1500.milliseconds
private val EXPIRY = REPORT_PERIOD * 3
private val HOLD_TIME = REPORT_PERIOD * 4

/** Longest time by which the store performs a write later than it was sent. */
private val LONGEST_LATENESS = 6.seconds

/** Longest time until a VM hears of a change. */
private val LONGEST_NEWS = 1.seconds

/** Time by which a live process must be in use again, whatever happened to its entry. */
private val RETURN_BOUND = LONGEST_LATENESS + 1.seconds + HOLD_TIME + REPORT_PERIOD + LONGEST_NEWS + STEP

private fun versionOf(stored: StoreObject): ContentVersion? = stored.content?.let {
    ContentVersion(it.getLong("lifetime"), it.getLong("sequence"), it.getBoolean("draining"))
}

/** Store with one object, as the pages of the platform describe it: late writes, expiry, and an entry that changes. */
private class SimulatedStore {
    class Write(val content: JsonObject, val at: MonotonicTime)

    val late = PriorityQueue<Write>(compareBy { it.at })
    val events = ArrayList<Pair<MonotonicTime, StoreEvent>>()
    var revision = 10L
    var present: StoreObject? = null
    private var renewedAt = MonotonicTime(0)

    fun write(content: JsonObject, now: MonotonicTime) {
        renewedAt = now
        // The entry changes when more than the sequence changes.
        if (present?.content?.copy()?.put("sequence", 0) == content.copy().put("sequence", 0)) return
        val changed = StoreObject("a", StoreRevision(1, ++revision), content)
        present = changed
        events.add(now to StoreEvent(changed, removed = false))
    }

    fun remove(now: MonotonicTime) {
        val last = present ?: return
        present = null
        events.add(now to StoreEvent(last.copy(revision = StoreRevision(1, ++revision)), removed = true))
    }

    fun step(now: MonotonicTime) {
        while (late.isNotEmpty() && late.first().at <= now) write(late.remove().content, now)
        if (now - renewedAt >= EXPIRY) remove(now)
    }
}

/** Process that reports to the store; [born] is its start by its own clock. */
private class SimulatedProcess(val born: Long, val startedAt: MonotonicTime) {
    var sequence = 0L
    var isDraining = false
    var nextReport = startedAt
    var isCutOffUntil = startedAt

    fun report(cold: Long) = JsonObject().put("lifetime", born).put("sequence", ++sequence).put("draining", isDraining)
        .put("cold", cold)
}

/** VM that hears of the changes of [store] in order, by events or listings, and may start again. */
private class SimulatedVm(private val store: SimulatedStore, private val random: Random) {
    var objects = newObjects()
    private var heard = 0
    private var nextNews = MonotonicTime(0)

    private fun newObjects() = KnownObjects(keepsLost = false, { HOLD_TIME }, ::versionOf)

    /** Lifetimes that this VM heard to drain, at these times, since its start. */
    val left = HashMap<Long, MonotonicTime>()

    /** Lifetimes whose removal this VM heard since its start, at these times; a listing may leave one out. */
    val removals = HashMap<Long, MonotonicTime>()

    fun restart(now: MonotonicTime) {
        removals.clear()
        objects = newObjects()
        left.clear()
        heard = store.events.size
        list(now)
    }

    fun step(now: MonotonicTime) {
        objects.takeHeld(now)
        if (now < nextNews) return
        nextNews = now + STEP * random.nextInt(1, (LONGEST_NEWS / STEP).toInt())
        if (random.nextInt(4) == 0) {
            heard = store.events.size
            // A listing does not show that an object was removed or draining in the meantime.
            store.present?.let { noteLeft(it, now) }
            if (store.present == null) usable?.let { removals[it.lifetime] = now }
            list(now)
        } else {
            while (heard < store.events.size) hear(store.events[heard++].second, now)
        }
    }

    private fun hear(event: StoreEvent, now: MonotonicTime) {
        noteLeft(event.changed, now)
        if (event.removed) versionOf(event.changed)?.let { removals[it.lifetime] = now }
        objects.apply(event, mayHaveExpired = false, now)
    }

    private fun noteLeft(seen: StoreObject, now: MonotonicTime) {
        val version = versionOf(seen) ?: return
        if (version.endsLifetime) left.putIfAbsent(version.lifetime, now)
    }

    private fun list(now: MonotonicTime) =
        objects.replaceAll(StoreListing(listOfNotNull(store.present), StoreRevision(1, store.revision)), false, now)

    val usable: ContentVersion?
        get() = objects.values.firstOrNull()?.let(::versionOf)?.takeIf { !it.endsLifetime }
}

/** One random history of a name. */
private class History(seed: Int) {
    private val random = Random(seed)
    private val store = SimulatedStore()
    private val vm = SimulatedVm(store, random)
    private var now = MonotonicTime(0)
    private var process = newProcess(clockStep = 0)
    private val ended = HashMap<Long, MonotonicTime>()
    private var settledSince = now
    var lateWrites = 0
        private set

    private fun newProcess(clockStep: Long) =
        SimulatedProcess(1_000_000 + (now - MonotonicTime(0)).inWholeMilliseconds + clockStep, now)

    private var isGone = false
    private var returnAt = now

    fun run(duration: Duration) {
        while (now < MonotonicTime(0) + duration) {
            now += STEP
            store.step(now)
            if (isGone) startAgainIfDue() else live()
            if (random.nextInt(1_500) == 0) {
                vm.restart(now)
                settledSince = maxOf(settledSince, now)
            }
            vm.step(now)
            check()
        }
    }

    private fun startAgainIfDue() {
        if (now < returnAt) return
        isGone = false
        process = newProcess(clockStep = if (random.nextInt(5) == 0) -3_600_000L else 0)
        settledSince = now
    }

    private fun live() {
        report()
        when (random.nextInt(600)) {
            0 -> process.isDraining = true

            1 -> {
                process.isCutOffUntil = now + STEP * random.nextInt(1, 200)
                settledSince = process.isCutOffUntil
            }

            2, 3 -> leave()
        }
    }

    /** Ends the process, which may have reported that it drains before. */
    private fun leave() {
        // Nobody can hear of the end of a process that was not registered.
        if (store.present?.let(::versionOf)?.lifetime == process.born) ended[process.born] = now
        store.remove(now)
        isGone = true
        returnAt = now + STEP * random.nextInt(1, 200)
    }

    private fun report() {
        if (now < process.nextReport || now < process.isCutOffUntil) return
        process.nextReport = now + REPORT_PERIOD
        val content = process.report(cold = if (random.nextInt(10) == 0) random.nextLong(5) else 0)
        if (random.nextInt(10) == 0) {
            lateWrites++
            store.late.add(
                SimulatedStore.Write(
                    content,
                    now + STEP * random.nextInt(10, (LONGEST_LATENESS / STEP).toInt()),
                ),
            )
            settledSince = now + LONGEST_LATENESS
        } else {
            store.write(content, now)
        }
    }

    private fun check() {
        val usable = vm.usable
        withClue(
            "at ${(now - MonotonicTime(0)).inWholeMilliseconds} ms: $usable, left ${vm.left}, process ${process.born}",
        ) {
            // No lifetime that the VM knew to drain is used again.
            if (usable != null) (usable.lifetime in vm.left) shouldBe false
            // A live process whose reports have reached the store for long enough is used.
            val isSettled = now - maxOf(settledSince, process.startedAt) >= RETURN_BOUND
            if (!isGone && !process.isDraining && isSettled) usable?.lifetime shouldBe process.born
            // A process that has ended is not used once its entry was removed and the VM has heard of it.
            val endedAt = ended[usable?.lifetime]
            val removedAt = vm.removals[usable?.lifetime]
            (endedAt != null && removedAt != null && removedAt >= endedAt) shouldBe false
        }
    }
}

class KnownObjectsPropertyTest :
    FunSpec({
        // Guards against targets that are used after they have left, or are never used again, by the order of writes.
        test("targets are used while they live, whatever late writes, removals, cuts and restarts there are") {
            var lateWrites = 0
            for (seed in SEEDS) {
                withClue("seed $seed") {
                    val history = History(seed)
                    history.run(120.seconds)
                    lateWrites += history.lateWrites
                }
            }
            lateWrites shouldBeGreaterThan 300
        }
    })
