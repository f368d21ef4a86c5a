package org.anvilshed.gateway

/**
 * Names of the headers that callers, entry VMs and targets exchange.
 *
 * @property requestId identifier of one attempt of a caller; targets repeat it in their responses.
 * @property deadlineMillis remaining time in milliseconds until the caller gives up.
 * @property affinityKey key of the object that a request concerns.
 * @property caller identifies the caller of a request, the same in all its attempts.
 * @property notExecuted set by a target that did not run the request.
 * @property expectedTarget name of the target for which a request is meant.
 * @property targetLoad number of running requests, of waiting requests and of slots of a target, separated by commas.
 * @property targetRateLimit requests per second that a target takes from all entry VMs together, while it states them.
 * @property targetLeaving `1` in the responses of a target that shuts down.
 */
public data class RequestHeaderNames(
    public val requestId: String,
    public val deadlineMillis: String,
    public val affinityKey: String,
    public val caller: String,
    public val notExecuted: String,
    public val expectedTarget: String,
    public val targetLoad: String,
    public val targetRateLimit: String,
    public val targetLeaving: String,
)
