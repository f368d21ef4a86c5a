package org.anvilshed.gateway

import org.anvilshed.core.MonotonicTime

/** Function that returns the present time of a monotonic clock. */
public typealias MonotonicClock = () -> MonotonicTime

/** Monotonic clock of the JVM; it does not advance while the machine is suspended. */
public val systemClock: MonotonicClock = { MonotonicTime(System.nanoTime()) }
