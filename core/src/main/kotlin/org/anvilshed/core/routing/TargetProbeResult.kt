package org.anvilshed.core.routing

/** State of a target as its last health probe showed it. */
public enum class TargetProbeResult {
    READY,
    COLD,
    DRAINING,

    /** The probe got no answer. */
    UNREACHABLE,
}
