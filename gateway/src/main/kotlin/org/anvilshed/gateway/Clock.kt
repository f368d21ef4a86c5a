package org.anvilshed.gateway

import org.anvilshed.core.MonotonicTime

/** Reads the monotonic clock of the process. */
public typealias Clock = () -> MonotonicTime

/** The clock of the JVM; it stands still while the machine is suspended. */
public val systemClock: Clock = { MonotonicTime(System.nanoTime()) }
