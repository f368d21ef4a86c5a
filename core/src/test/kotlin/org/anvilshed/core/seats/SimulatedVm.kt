package org.anvilshed.core.seats

import org.anvilshed.core.Incarnation
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import org.anvilshed.core.bundle.Target
import org.anvilshed.core.limits.SlotPool
import kotlin.random.Random

// Two clocks may differ by 5%.
private const val SLOWEST = 0.976
private const val FASTEST = 1.0245

/** One process of the simulation: the real holder and slot pool, and the faults that it suffers. */
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
    var cutFromStore = false

    /** Only processes of the same partition reach each other. */
    var partition = 0
    var leaving = false
    var busy = false

    private val rate = if (random.nextBoolean()) {
        random.nextDouble(
            SLOWEST,
            FASTEST,
        )
    } else {
        listOf(SLOWEST, FASTEST).random(random)
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

    /** One turn of the daemon's loop. */
    fun turn(now: Long): LedgerAction {
        val usage = apply(now)
        return holder.next(clock(now), usage)
    }

    private fun apply(now: Long): AppliedShares = pool.update(targets, holder.refresh(clock(now)), clock(now))
}
