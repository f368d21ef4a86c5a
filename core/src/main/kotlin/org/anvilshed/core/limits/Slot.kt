package org.anvilshed.core.limits

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.TargetName
import java.util.concurrent.atomic.AtomicBoolean

/** A slot of [target] taken by one request, see [SlotPool.acquireOrNull]. Only the first call that ends it counts. */
public class Slot internal constructor(public val target: TargetName, private val slots: TargetSlots) {
    private val ended = AtomicBoolean()

    /** Frees the slot: the response has ended, or nothing was sent to the target. */
    public fun complete() {
        if (ended.compareAndSet(false, true)) slots.free()
    }

    /**
     * Reports that the connection was closed before the end of the response. As the target may work until [deadline],
     * the slot becomes free only then.
     */
    public fun abandon(deadline: MonotonicTime) {
        if (ended.compareAndSet(false, true)) slots.freeAt(deadline)
    }
}
