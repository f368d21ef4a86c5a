package org.anvilshed.cli

/** Exit codes of `anvilctl`. Scripts of operators rely on them. */
internal enum class ExitCode(val code: Int) {
    SUCCESS(0),

    /** A document, key or settings file has a fault. */
    INVALID_INPUT(1),
    USAGE_ERROR(2),

    /** A rule or a VM rejects the request, a stored object is malformed, or another operator made a change first. */
    REJECTED(3),

    /** The platform or VM did not answer, or the outcome of a write is unknown because its answer was lost. */
    UNREACHABLE(4),
}
