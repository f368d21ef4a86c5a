package org.anvilshed.core.lifecycle

import kotlin.time.Duration

/** Next action of an entry VM during a shutdown; see [DrainState.step]. */
public sealed interface DrainStep {
    /** No stop signal has come; the VM serves requests. */
    public data object Serve : DrainStep

    /**
     * The VM keeps serving or completing requests.
     *
     * @property inFlight number of requests that have not ended.
     * @property remaining time until all lookup answers that list this VM have expired; zero if they have expired or if
     *   new requests are refused.
     */
    public data class Wait(public val inFlight: Int, public val remaining: Duration) : DrainStep

    /** The VM releases its shares, closes its ports and exits with [code]; no request can begin any more. */
    public data class Exit(public val code: Int) : DrainStep
}
