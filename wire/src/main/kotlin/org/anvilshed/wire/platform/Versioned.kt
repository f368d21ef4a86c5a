package org.anvilshed.wire.platform

/** A decoded object and the version to expect in a conditional update of it. */
public data class Versioned<out T>(public val objectVersion: Long, public val value: T)
