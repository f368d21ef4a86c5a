package org.anvilshed.daemon.control

import kotlinx.coroutines.delay
import org.anvilshed.core.TargetName
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import org.anvilshed.core.isValidName
import org.anvilshed.core.membership.PeerContact
import org.anvilshed.core.routing.TargetRegistry
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.metrics.DaemonMetrics
import org.anvilshed.daemon.peers.PeerDirectory
import org.anvilshed.daemon.settings.parseAddressOrNull
import org.anvilshed.wire.platform.PlatformClient
import org.anvilshed.wire.platform.PlatformResult
import org.anvilshed.wire.platform.PlatformVm
import org.anvilshed.wire.platform.PlatformVmRole
import org.anvilshed.wire.platform.PlatformVmState
import kotlin.time.Duration.Companion.milliseconds

private val PERIOD = 1_000.milliseconds

/** Time for another VM to take over the polling; until then, the last list that this VM has read stays in use. */
private val HANDOVER_TIME = 5_000.milliseconds

/** Reads the VM list of the platform while [mayPoll] returns `true` and marks the targets that are leaving. */
internal class VmListPoll(
    private val platform: PlatformClient,
    private val targets: TargetRegistry,
    private val heartbeats: HeartbeatSource,
    private val metrics: DaemonMetrics,
    private val clock: DaemonClock,
    private val directory: PeerDirectory,
    private val mayPoll: () -> Boolean,
) {
    /** Polls the list until the coroutine is cancelled. */
    suspend fun run() {
        var polledAt = clock.now()
        while (true) {
            if (mayPoll()) {
                polledAt = clock.now()
                poll()
            } else if (clock.now() - polledAt > HANDOVER_TIME) {
                apply(emptySet())
            }
            delay(PERIOD)
        }
    }

    private suspend fun poll() {
        when (val result = platform.listVms()) {
            is PlatformResult.Success -> {
                val leaving = result.value.filter {
                    it.role == PlatformVmRole.TARGET && it.state == PlatformVmState.LEAVING && isValidName(it.name)
                }
                apply(leaving.mapTo(HashSet()) { TargetName(it.name) })
                directory.replaceListed(result.value.mapNotNull { it.toContactOrNull() }, clock.now())
            }

            // The last list that was read stays in use.
            is PlatformResult.Failure -> metrics.recordPlatformFailure()
        }
    }

    private fun apply(leaving: Set<TargetName>) {
        heartbeats.leavingInVmList = leaving
        targets.applyVmList(leaving)
    }

    private fun PlatformVm.toContactOrNull(): PeerContact? {
        val isUsable = role == PlatformVmRole.ENTRY && isValidName(name) && isValidName(zone)
        val peerAddress = parseAddressOrNull(address, lowestPort = 1)
        return if (isUsable && peerAddress != null) PeerContact(VmName(name), ZoneName(zone), address) else null
    }
}
