package org.anvilshed.daemon.steering

import org.anvilshed.core.ServiceName
import org.anvilshed.core.bundle.Bundle
import org.anvilshed.core.bundle.VerifiedBundle
import org.anvilshed.core.lookup.ClientBlockTable
import org.anvilshed.core.lookup.EntrySelector
import org.anvilshed.core.routing.RoutePlan
import java.util.concurrent.atomic.AtomicReference

/** Immutable snapshot of the bundle in force and of what follows from it and from the known peers. */
internal class Steering(
    val verified: VerifiedBundle,
    val plans: Map<ServiceName, RoutePlan>,
    val directory: EntrySelector,
    val clientBlocks: ClientBlockTable,
) {
    val bundle: Bundle get() = verified.bundle
}

/** Present [Steering] for the request path; `null` before the first bundle. */
internal class SteeringReference {
    private val reference = AtomicReference<Steering?>()

    val current: Steering? get() = reference.get()

    fun publish(steering: Steering): Unit = reference.set(steering)
}
