package org.anvilshed.core.seats

import org.anvilshed.core.Incarnation
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import org.anvilshed.core.bundle.Target
import org.anvilshed.core.limits.SlotPool
import kotlin.random.Random

// Rates of clocks. The fastest one gains 5% on the slowest one, the largest drift that the protocol allows.
private const val SLOWEST_RATE = 0.976
private const val FASTEST_RATE = 1.0245

/** Process of the simulation: the holder and slot pool under test, and the state of the injected faults. */
internal class SimulatedVm(
    name: String,
    val zone: ZoneName,
    scope: ShareScope,
    settings: ShareSettings,
    random: Random,
    targets: List<Target>,
) {
    val identity = VmIdentity(VmName(name), Incarnation(random.nextLong()))
    val holder = ShareHolder(scope, identity, zone, "address-of-$name", settings, Random(random.nextLong()))
    val pool = SlotPool { holder.usable }
    var settings = settings
        private set
    var targets = targets
        private set
    var alive = true
    var vanished = false
    var frozenUntil = 0L
    var storeUnreachable = false

    /** Processes reach each other only if the number of their partition is the same. */
    var partition = 0
    var leaving = false
    var busy = false

    private val rate = if (random.nextBoolean()) {
        random.nextDouble(
            SLOWEST_RATE,
            FASTEST_RATE,
        )
    } else {
        listOf(SLOWEST_RATE, FASTEST_RATE).random(random)
    }
    private val origin = random.nextLong(-1_000_000_000_000, 1_000_000_000_000)

    fun isRunning(now: Long): Boolean = alive && now >= frozenUntil

    fun clock(now: Long) = MonotonicTime(origin + (now * 1e6 * rate).toLong())

    fun change(newSettings: ShareSettings, newTargets: List<Target>, now: Long) {
        settings = newSettings
        targets = newTargets
        holder.changeSettings(newSettings, clock(now))
        apply(now)
    }

    /** One iteration of the loop that the daemon runs. */
    fun nextAction(now: Long): LedgerAction {
        val applied = apply(now)
        return holder.next(clock(now), applied)
    }

    private fun apply(now: Long): AppliedShares = pool.update(targets, holder.refresh(clock(now)), clock(now))
}
