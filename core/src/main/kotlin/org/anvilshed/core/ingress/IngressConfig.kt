package org.anvilshed.core.ingress

import org.anvilshed.core.ServiceName
import kotlin.time.Duration

/**
 * One version of the routing configuration, as an entry VM applies it.
 *
 * @property version number of the version; a process never replaces a version by a lower one.
 * @property routes all routes of the version.
 * @property services policies of the services that the routes name.
 * @property callerLimits limits on the requests and connections of callers.
 */
public data class IngressConfig(
    public val version: Long,
    public val routes: List<IngressRoute>,
    public val services: Map<ServiceName, ServicePolicy>,
    public val callerLimits: CallerLimits,
)

/**
 * Limits of one service that all entry VMs share.
 *
 * @property maximumConnections number of connections that one target accepts from all entry VMs together.
 * @property coldDuration time for which a target stays cold after it starts.
 * @property coldRequestsPerSecond requests per second that a cold target tolerates from all entry VMs together.
 */
public data class ServicePolicy(
    public val maximumConnections: Int,
    public val coldDuration: Duration,
    public val coldRequestsPerSecond: Double,
)

/**
 * Limits on the requests and connections of callers.
 *
 * @property maximumHeaderBytes largest size of the request line and headers together, in bytes.
 * @property maximumBodyBytes largest size of a request body, in bytes.
 * @property headerTimeout longest time from the first byte of a request to the end of its headers.
 * @property idleTimeout time after which a connection without a request is closed.
 */
public data class CallerLimits(
    public val maximumHeaderBytes: Int,
    public val maximumBodyBytes: Long,
    public val headerTimeout: Duration,
    public val idleTimeout: Duration,
)
