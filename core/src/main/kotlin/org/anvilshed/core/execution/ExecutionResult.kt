package org.anvilshed.core.execution

import org.anvilshed.core.RefusalReason
import org.anvilshed.core.UnknownReason
import kotlin.time.Duration

/** Result of an [Execution], the same for the first arrival and all duplicates. */
public sealed interface ExecutionResult {
    /** A target answered; duplicates receive the recorded [answer]. */
    public data class Answered(public val answer: RecordedAnswer) : ExecutionResult

    /** A target answered, but the answer was too large to be recorded. */
    public data object AnswerNotRetained : ExecutionResult

    /** The request may or may not have run; it is never sent again. */
    public data class Unknown(public val reason: UnknownReason) : ExecutionResult

    /**
     * The request did not run.
     *
     * @property retryAfter time after which the caller should try again, or `null` if there is no estimate.
     */
    public data class NotRun(public val reason: RefusalReason, public val retryAfter: Duration? = null) :
        ExecutionResult
}
