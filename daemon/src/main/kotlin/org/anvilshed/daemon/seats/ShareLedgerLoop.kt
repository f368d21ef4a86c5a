package org.anvilshed.daemon.seats

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.anvilshed.core.seats.AppliedShares
import org.anvilshed.core.seats.LedgerAction
import org.anvilshed.core.seats.LedgerMember
import org.anvilshed.core.seats.LedgerReadResult
import org.anvilshed.core.seats.LedgerWriteResult
import org.anvilshed.core.seats.ShareHolder
import org.anvilshed.core.seats.ShareLedger
import org.anvilshed.core.seats.UsableShares
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.metrics.DaemonMetrics
import org.anvilshed.daemon.peers.DIAL_TIMEOUT
import org.anvilshed.daemon.settings.parseAddressOrNull
import org.anvilshed.wire.peer.DialResult
import org.anvilshed.wire.peer.PeerTransport
import org.anvilshed.wire.platform.PlatformClient
import org.anvilshed.wire.platform.PlatformResult
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}
private val MAXIMUM_WAIT = 250.milliseconds
private val SUSPECT_CHECK_PERIOD = 1.seconds
private val json = Json { ignoreUnknownKeys = true }

/** Platform, peers, clock and metrics that all [ShareLedgerLoop]s use. */
internal class ShareLedgerAccess(
    val platform: PlatformClient,
    val transport: PeerTransport,
    val clock: DaemonClock,
    val metrics: DaemonMetrics,
)

/**
 * Keeps this process a member of the ledger of one scope: reads and writes the ledger on the platform as [holder]
 * decides, and tries to connect to members that do not renew. Used on the control thread; only [usableShares] may be
 * called by any thread.
 *
 * @param apply applies usable shares to the request path and returns what the request path uses.
 */
internal class ShareLedgerLoop(
    val holder: ShareHolder,
    private val access: ShareLedgerAccess,
    private val apply: (UsableShares) -> AppliedShares,
) {
    private val clock = access.clock
    private var heldShares = -1

    @Volatile
    private var suspended = false

    /** Returns the shares that may be used now. */
    fun usableShares(): UsableShares = if (suspended) UsableShares.NONE else holder.usable

    /** Stops using all shares until the next renewal, because the clock may have been wrong since the last renewal. */
    fun suspendShares() {
        suspended = true
    }

    /** Runs until this process has left the ledger. */
    suspend fun run(): Unit = coroutineScope {
        val suspectChecks = launch { checkSuspects() }
        while (!holder.hasLeft) {
            val usage = apply(holder.refresh(clock.now()))
            logChange(usage.usable)
            when (val action = holder.next(clock.now(), usage)) {
                is LedgerAction.Read -> holder.readFinished(read(), clock.now())

                is LedgerAction.Write -> {
                    val result = write(action)
                    holder.writeFinished(action.writeId, result, clock.now())
                    if (result is LedgerWriteResult.Applied) suspended = false
                }

                is LedgerAction.Wait -> delay((action.until - clock.now()).coerceIn(1.milliseconds, MAXIMUM_WAIT))
            }
        }
        apply(holder.refresh(clock.now()))
        suspectChecks.cancel()
    }

    private suspend fun read(): LedgerReadResult = when (val result = access.platform.get(holder.scope.key)) {
        is PlatformResult.Success -> try {
            val ledger = json.decodeFromString(ShareLedger.serializer(), result.value.body.decodeToString())
            LedgerReadResult.Found(result.value.version, ledger)
        } catch (fault: SerializationException) {
            logger.error {
                "the share ledger ${holder.scope.key} cannot be decoded and is read again later: ${fault.message}"
            }
            LedgerReadResult.Failed
        } catch (fault: IllegalArgumentException) {
            logger.error {
                "the share ledger ${holder.scope.key} is inconsistent and is read again later: ${fault.message}"
            }
            LedgerReadResult.Failed
        }

        PlatformResult.NotFound -> LedgerReadResult.Absent

        is PlatformResult.Failure -> {
            access.metrics.recordPlatformFailure()
            LedgerReadResult.Failed
        }
    }

    private suspend fun write(action: LedgerAction.Write): LedgerWriteResult {
        val body = json.encodeToString(ShareLedger.serializer(), action.ledger).toByteArray()
        return when (val result = access.platform.put(holder.scope.key, body, action.baseVersion)) {
            is PlatformResult.Success -> LedgerWriteResult.Applied(result.value)

            is PlatformResult.VersionConflict, PlatformResult.NotFound -> LedgerWriteResult.Conflict

            is PlatformResult.Unavailable, PlatformResult.RateLimited, PlatformResult.TooLarge -> {
                access.metrics.recordPlatformFailure()
                LedgerWriteResult.Rejected
            }

            is PlatformResult.Failure -> {
                access.metrics.recordPlatformFailure()
                LedgerWriteResult.Unknown
            }
        }
    }

    /** Tries to connect to members that do not renew, so that the holder learns whether their processes still run. */
    private suspend fun checkSuspects() {
        while (true) {
            for (member in holder.suspects(clock.now())) tryToConnect(member)
            delay(SUSPECT_CHECK_PERIOD)
        }
    }

    private suspend fun tryToConnect(member: LedgerMember) {
        val address = parseAddressOrNull(member.address, lowestPort = 1) ?: return
        when (val result = access.transport.dial(address.host, address.port, DIAL_TIMEOUT)) {
            DialResult.Refused -> holder.connectionRefused(member.identity, clock.now())

            is DialResult.Connected -> {
                holder.connectionAnswered(member.identity, result.link.remote.vm, clock.now())
                result.link.close()
            }

            is DialResult.Failed -> Unit
        }
    }

    private fun logChange(usable: UsableShares) {
        val count = usable.shares.count
        if (count != heldShares) {
            heldShares = count
            logger.info { "${holder.scope.key}: holds $count of ${usable.shares.size} shares" }
        }
    }
}
