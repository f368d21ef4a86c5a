package org.anvilshed.daemon.request

import org.anvilshed.core.RefusalReason
import org.anvilshed.core.RetryReason
import org.anvilshed.core.UnknownReason
import kotlin.time.Duration

/** Outcome of a request. */
internal sealed interface ServeResult {
    /** The whole response was passed on. */
    data object Answered : ServeResult

    /** The response began but cannot be completed; the connection to the receiver has to be closed. */
    data object Broken : ServeResult

    /** The request did not run, and no part of a response was passed on. */
    data class NotRun(val reason: RefusalReason, val retryAfter: Duration? = null) : ServeResult

    /** The request may have run, and no part of a response was passed on. */
    data class Unknown(val reason: UnknownReason) : ServeResult
}

/** Outcome of one attempt to run a request. */
internal sealed interface AttemptResult {
    /** The request ended with [result]; no further attempt is made. */
    data class Ended(val result: ServeResult) : AttemptResult

    /** Nothing was sent, because the chosen target or peer stopped taking requests; another route may be chosen. */
    data class NotSent(val reason: RefusalReason) : AttemptResult

    /** The request was refused before it ran; another target or peer may be tried. */
    data class NotRun(val refusal: ServeResult.NotRun, val retry: RetryReason) : AttemptResult

    /** The request may have run; only an idempotent request may be sent again. */
    data class Lost(val reason: UnknownReason, val retry: RetryReason) : AttemptResult
}

internal fun notRun(reason: RefusalReason, retryAfter: Duration? = null): AttemptResult =
    AttemptResult.Ended(ServeResult.NotRun(reason, retryAfter))

internal fun unknown(reason: UnknownReason): AttemptResult = AttemptResult.Ended(ServeResult.Unknown(reason))
