package org.anvilshed.core.routing

/** State of a target as a health probe found it. */
public enum class TargetProbeResult {
    READY,
    COLD,
    DRAINING,

    /** The target did not answer the probe. */
    UNREACHABLE,
}
