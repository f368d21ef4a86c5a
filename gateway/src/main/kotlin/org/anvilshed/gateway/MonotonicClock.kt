package org.anvilshed.gateway

import org.anvilshed.core.MonotonicTime

/** Reads the monotonic clock of the process. */
public typealias MonotonicClock = () -> MonotonicTime

/** The clock of the JVM; it stands still while the machine is suspended. */
public val systemClock: MonotonicClock = { MonotonicTime(System.nanoTime()) }
