package org.anvilshed.core.bundle

/** Result of [parseBundle]. */
public sealed interface BundleParseResult {
    /** The document is valid. */
    public data class Valid(public val bundle: Bundle) : BundleParseResult

    /** The document is invalid; [faults] lists at least one fault, all in the order of the checks. */
    public data class Invalid(public val faults: List<BundleFault>) : BundleParseResult
}
