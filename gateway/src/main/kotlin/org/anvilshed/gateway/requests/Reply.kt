package org.anvilshed.gateway.requests

import org.anvilshed.gateway.targets.ExchangeResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Final response to a caller. */
internal sealed interface Reply {
    /** Response of a target, forwarded unchanged. */
    class FromTarget(val result: ExchangeResult.Complete) : Reply

    /**
     * Large response of a target, which was already forwarded as it arrived.
     *
     * @property status HTTP status of the response.
     * @property isComplete whether the whole response was forwarded; otherwise the caller's connection was reset.
     */
    class Streamed(val status: Int, val isComplete: Boolean) : Reply

    /**
     * The request did not run at any target and will not run later.
     *
     * @property status HTTP status of the response.
     * @property reason value of the error field, and label of the metric.
     * @property retryAfter time after which the caller may try again; `null` if no hint is sent.
     */
    class NotRun(val status: Int, val reason: String, val retryAfter: Duration?) : Reply

    /**
     * The request may have run at a target, or is invalid.
     *
     * @property status HTTP status of the response.
     * @property reason value of the error field, and label of the metric.
     */
    class Failed(val status: Int, val reason: String) : Reply

    companion object {
        private const val SERVICE_UNAVAILABLE = 503

        /** Time for the caller to open a connection to another VM. */
        private val OTHER_VM_RETRY_AFTER = 10.milliseconds

        /** This VM shuts down and did not send the request to any target; another VM may serve it at once. */
        fun leaving(): Reply = NotRun(SERVICE_UNAVAILABLE, "leaving", OTHER_VM_RETRY_AFTER)
    }
}
