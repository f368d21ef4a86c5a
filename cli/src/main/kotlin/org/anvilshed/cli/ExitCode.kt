package org.anvilshed.cli

/** Exit codes of `anvilctl`, as programs rely on them. */
internal enum class ExitCode(val code: Int) {
    SUCCESS(0),

    /** A document, key or settings file has a fault. */
    INVALID_INPUT(1),
    USAGE_ERROR(2),

    /** A rule forbids the step, or another operator was first. */
    REJECTED(3),

    /** The platform or VM did not answer, or the answer to a write was lost. */
    UNREACHABLE(4),
}
