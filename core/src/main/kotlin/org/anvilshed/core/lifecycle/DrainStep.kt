package org.anvilshed.core.lifecycle

import kotlin.time.Duration

/** What an entry VM has to do next; see [DrainState.step]. */
public sealed interface DrainStep {
    /** No stop was asked for. */
    public data object Serve : DrainStep

    /**
     * Keep serving or completing requests.
     *
     * @property inFlight requests that have not ended.
     * @property remaining time after which look-up answers that list this VM have expired; zero if they have.
     */
    public data class Wait(public val inFlight: Int, public val remaining: Duration) : DrainStep

    /** Release the seats, close the ports and exit with [code]; no request begins any more. */
    public data class Exit(public val code: Int) : DrainStep
}
