package org.anvilshed.core.limits

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.TargetName
import java.util.concurrent.atomic.AtomicBoolean

/**
 * A slot of [target] that one request occupies, see [SlotPool.acquireOrNull]. Only the first call of [complete] or
 * [abandon] has an effect.
 */
public class Slot internal constructor(public val target: TargetName, private val slots: TargetSlots) {
    private val isEnded = AtomicBoolean()

    /** Frees the slot: the response has ended, or nothing was sent to the target. */
    public fun complete() {
        if (isEnded.compareAndSet(false, true)) slots.free()
    }

    /**
     * Records that the connection was closed before the end of the response. The target may work on the request until
     * [deadline], so the slot becomes free only then.
     */
    public fun abandon(deadline: MonotonicTime) {
        if (isEnded.compareAndSet(false, true)) slots.freeAt(deadline)
    }
}
