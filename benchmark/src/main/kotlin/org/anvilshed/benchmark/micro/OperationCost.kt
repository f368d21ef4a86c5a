package org.anvilshed.benchmark.micro

import com.sun.management.ThreadMXBean
import java.lang.management.ManagementFactory

private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean

/** Mean time and allocated heap of one operation on one thread. */
internal data class OperationCost(public val nanoseconds: Double, public val allocatedBytes: Double)

/** Runs [operation] with the indices below [count] twice, first to warm up and then to measure its cost. */
internal fun measureCost(count: Int, operation: (Int) -> Any?): OperationCost {
    var sink = 0
    repeat(count) { sink = sink xor System.identityHashCode(operation(it)) }
    val allocatedBefore = threads.currentThreadAllocatedBytes
    val start = System.nanoTime()
    var last: Any? = null
    for (index in 0 until count) last = operation(index)
    val elapsed = System.nanoTime() - start
    val allocated = threads.currentThreadAllocatedBytes - allocatedBefore
    // Uses the results, so that the compiler cannot drop the calls.
    check(sink != Int.MIN_VALUE || last == null)
    return OperationCost(elapsed.toDouble() / count, allocated.toDouble() / count)
}

/** Returns the heap in use after full garbage collections, in bytes. */
internal fun usedHeapAfterCollection(): Long {
    repeat(3) { System.gc() }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}
