package org.anvilshed.daemon.limits

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ServiceName
import org.anvilshed.core.admission.AdmissionQueue
import org.anvilshed.core.bundle.Bundle
import org.anvilshed.core.bundle.Service
import org.anvilshed.core.limits.RetryTokenBucket
import org.anvilshed.core.limits.ShiftCapLimiter
import java.util.concurrent.ConcurrentHashMap

/** Queue and limits of one service, which are kept when the bundle changes. */
internal class ServiceRuntime(val name: ServiceName, service: Service, queueCapacity: Int?) {
    val queue = AdmissionQueue<QueuedRequest>(queueCapacity)
    val retryBudget = RetryTokenBucket()
    val shiftLimiter = ShiftCapLimiter(service.shiftCap, service.shiftWindow)
}

/** State of all services that were listed in any bundle since the start of this process. */
internal class ServiceRuntimes(private val queueCapacity: Int?) {
    private val runtimes = ConcurrentHashMap<ServiceName, ServiceRuntime>()

    val all: Collection<ServiceRuntime> get() = runtimes.values

    /** Adds the new services of [bundle] and applies its shift caps to the known ones. */
    fun applyBundle(bundle: Bundle, now: MonotonicTime) {
        for (service in bundle.services.values) {
            val known = runtimes[service.name]
            if (known == null) {
                runtimes[service.name] = ServiceRuntime(service.name, service, queueCapacity)
            } else {
                known.shiftLimiter.change(service.shiftCap, service.shiftWindow, now)
            }
        }
    }

    fun getValue(service: ServiceName): ServiceRuntime = runtimes.getValue(service)

    fun getOrNull(service: ServiceName): ServiceRuntime? = runtimes[service]
}
