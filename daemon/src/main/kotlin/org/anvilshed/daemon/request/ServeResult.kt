package org.anvilshed.daemon.request

import org.anvilshed.core.RefusalReason
import org.anvilshed.core.RetryReason
import org.anvilshed.core.UnknownReason
import kotlin.time.Duration

/** How a request ended. */
internal sealed interface ServeResult {
    /** The whole response was passed on. */
    data object Answered : ServeResult

    /** The response began but cannot be completed; the receiver's connection has to be broken. */
    data object Broken : ServeResult

    /** The request did not run, and nothing of a response was passed on. */
    data class NotRun(val reason: RefusalReason, val retryAfter: Duration? = null) : ServeResult

    /** The request may have run, and nothing of a response was passed on. */
    data class Unknown(val reason: UnknownReason) : ServeResult
}

/** How one attempt ended. */
internal sealed interface AttemptResult {
    /** The request ended with [result]; there is no further attempt. */
    data class Ended(val result: ServeResult) : AttemptResult

    /** Nothing was sent, because the chosen place stopped taking requests; another one may be chosen. */
    data class NotSent(val reason: RefusalReason) : AttemptResult

    /** The attempt did not run; another place may be tried. */
    data class NotRun(val refusal: ServeResult.NotRun, val retry: RetryReason) : AttemptResult

    /** The attempt may have run; an idempotent request may be sent again. */
    data class Lost(val reason: UnknownReason, val retry: RetryReason) : AttemptResult
}

internal fun notRun(reason: RefusalReason, retryAfter: Duration? = null): AttemptResult =
    AttemptResult.Ended(ServeResult.NotRun(reason, retryAfter))

internal fun unknown(reason: UnknownReason): AttemptResult = AttemptResult.Ended(ServeResult.Unknown(reason))
