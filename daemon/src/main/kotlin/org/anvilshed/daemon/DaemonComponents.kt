package org.anvilshed.daemon

import org.anvilshed.core.lifecycle.DrainState
import org.anvilshed.daemon.steering.LocalVm
import org.anvilshed.daemon.steering.SteeringReference
import kotlin.time.Duration

/** Components of a daemon that [Daemon] uses to stop it. */
internal class DaemonComponents(
    private val shared: SharedState,
    val ports: DaemonPorts,
    private val control: ControlPlane,
    private val onClose: suspend () -> Unit,
) {
    val local: LocalVm get() = shared.local
    val clock: DaemonClock get() = shared.clock
    val drain: DrainState get() = shared.drain
    val steering: SteeringReference get() = shared.steering

    /** See [ControlPlane.announceLeaving]. */
    fun announceLeaving(): Unit = control.announceLeaving()

    /** See [ControlPlane.releaseShares]. */
    suspend fun releaseShares(limit: Duration): Boolean = control.releaseShares(limit)

    /** Closes all ports and stops all threads. */
    suspend fun close(): Unit = onClose()
}
