package org.anvilshed.daemon

import org.anvilshed.core.lifecycle.DrainState
import org.anvilshed.daemon.steering.LocalVm
import org.anvilshed.daemon.steering.SteeringReference
import kotlin.time.Duration

/** What the life cycle of a daemon needs of its parts. */
internal class DaemonParts(
    private val shared: SharedState,
    val ports: DaemonPorts,
    private val control: ControlPlane,
    private val onClose: suspend () -> Unit,
) {
    val local: LocalVm get() = shared.local
    val clock: DaemonClock get() = shared.clock
    val drain: DrainState get() = shared.drain
    val steering: SteeringReference get() = shared.steering

    fun announceLeaving(): Unit = control.announceLeaving()

    suspend fun releaseSeats(limit: Duration): Boolean = control.releaseSeats(limit)

    suspend fun close(): Unit = onClose()
}
