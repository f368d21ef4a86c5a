package org.anvilshed.daemon.steering

import org.anvilshed.core.ServiceName
import org.anvilshed.core.bundle.Bundle
import org.anvilshed.core.bundle.VerifiedBundle
import org.anvilshed.core.lookup.ClientBlockTable
import org.anvilshed.core.lookup.EntrySelector
import org.anvilshed.core.routing.RoutePlan
import java.util.concurrent.atomic.AtomicReference

/** Immutable snapshot of the bundle in force and of the routes and lookups that follow from it and the known peers. */
internal class SteeringSnapshot(
    val verified: VerifiedBundle,
    val plans: Map<ServiceName, RoutePlan>,
    val entrySelector: EntrySelector,
    val clientBlocks: ClientBlockTable,
) {
    val bundle: Bundle get() = verified.bundle
}

/** Reference to the latest [SteeringSnapshot], which the request path reads. May be used by any thread. */
internal class SteeringReference {
    private val reference = AtomicReference<SteeringSnapshot?>()

    /** Latest snapshot, or `null` before the first bundle. */
    val current: SteeringSnapshot? get() = reference.get()

    /** Replaces [current] by [snapshot]. */
    fun publish(snapshot: SteeringSnapshot): Unit = reference.set(snapshot)
}
