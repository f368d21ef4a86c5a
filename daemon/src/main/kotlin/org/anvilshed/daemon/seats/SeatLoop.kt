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
private val LONGEST_PAUSE = 250.milliseconds
private val SUSPECT_PERIOD = 1.seconds
private val json = Json { ignoreUnknownKeys = true }

/** Means by which seat loops reach the outside. */
internal class SeatAccess(
    val platform: PlatformClient,
    val transport: PeerTransport,
    val clock: DaemonClock,
    val metrics: DaemonMetrics,
)

/**
 * Keeps this process a member of the ledger of one scope: reads and writes the platform as [holder] decides, and tries
 * to connect to members that do not renew. Used on the control thread; only [use] may be called by any thread.
 *
 * @param apply applies seats to the request path and returns the report for the holder.
 */
internal class SeatLoop(
    val holder: ShareHolder,
    private val access: SeatAccess,
    private val apply: (UsableShares) -> AppliedShares,
) {
    private val clock = access.clock
    private var heldSeats = -1

    @Volatile
    private var suspended = false

    /** Returns the right to use seats as it is now. */
    fun use(): UsableShares = if (suspended) UsableShares.NONE else holder.usable

    /** Gives up all rights until the next renewal, because the clock cannot be trusted for the time before. */
    fun suspendRights() {
        suspended = true
    }

    /** Runs until the process has left the ledger. */
    suspend fun run(): Unit = coroutineScope {
        val suspects = launch { watchSuspects() }
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

                is LedgerAction.Wait -> delay((action.until - clock.now()).coerceIn(1.milliseconds, LONGEST_PAUSE))
            }
        }
        apply(holder.refresh(clock.now()))
        suspects.cancel()
    }

    private suspend fun read(): LedgerReadResult = when (val result = access.platform.get(holder.scope.key)) {
        is PlatformResult.Success -> try {
            val ledger = json.decodeFromString(ShareLedger.serializer(), result.value.body.decodeToString())
            LedgerReadResult.Found(result.value.version, ledger)
        } catch (fault: SerializationException) {
            logger.error { "the object ${holder.scope.key} cannot be decoded: ${fault.message}" }
            LedgerReadResult.Failed
        } catch (fault: IllegalArgumentException) {
            logger.error { "the object ${holder.scope.key} is inconsistent: ${fault.message}" }
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

    private suspend fun watchSuspects() {
        while (true) {
            for (member in holder.suspects(clock.now())) attemptConnection(member)
            delay(SUSPECT_PERIOD)
        }
    }

    private suspend fun attemptConnection(member: LedgerMember) {
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

    private fun logChange(use: UsableShares) {
        val seats = use.shares.count
        if (seats != heldSeats) {
            heldSeats = seats
            logger.info { "${holder.scope.key}: holds $seats of ${use.shares.size} seats" }
        }
    }
}
