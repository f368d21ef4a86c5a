package org.anvilshed.gateway

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.PoolOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.ZoneName
import org.anvilshed.core.fleet.CrashSuspicions
import org.anvilshed.core.fleet.RegisteredTarget
import org.anvilshed.core.fleet.SilenceDetector
import org.anvilshed.core.fleet.StoreContact
import org.anvilshed.core.fleet.TargetDirectory
import org.anvilshed.core.fleet.TargetKey
import org.anvilshed.core.lifecycle.StopDeadline
import org.anvilshed.core.placement.PlacementSettings
import org.anvilshed.core.placement.ServicePool
import org.anvilshed.core.placement.SharedRetryBudget
import org.anvilshed.core.placement.ShiftChangeLimiter
import org.anvilshed.gateway.callers.CallerRequest
import org.anvilshed.gateway.callers.CallerServer
import org.anvilshed.gateway.peers.AnnouncedCrash
import org.anvilshed.gateway.peers.AnnouncedLoad
import org.anvilshed.gateway.peers.AnnouncedRate
import org.anvilshed.gateway.peers.Announcement
import org.anvilshed.gateway.peers.AnnouncementExchange
import org.anvilshed.gateway.peers.AnnouncementSocket
import org.anvilshed.gateway.peers.EntryVmRegistration
import org.anvilshed.gateway.peers.FeedCatchUp
import org.anvilshed.gateway.peers.KnownEntryVms
import org.anvilshed.gateway.peers.PeerChange
import org.anvilshed.gateway.peers.PeerSnapshots
import org.anvilshed.gateway.requests.CallerRequestHandler
import org.anvilshed.gateway.requests.RequestForwarder
import org.anvilshed.gateway.requests.ServiceQueue
import org.anvilshed.gateway.requests.fingerprintText
import org.anvilshed.gateway.store.ObjectStore
import org.anvilshed.gateway.store.StoreProbe
import org.anvilshed.gateway.targets.TargetConnectionPool
import kotlin.math.roundToInt
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Gateway of one entry VM: forwards the requests of callers to targets, follows the store and exchanges announcements
 * with the other entry VMs. Confined to the event loop of [scope].
 */
public class Gateway(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    settings: GatewaySettings,
    headerNames: RequestHeaderNames,
    private val store: ObjectStore,
    decoders: StoreDecoders,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val clock: MonotonicClock = systemClock,
) {
    /** Settings in force. */
    public var settings: GatewaySettings = settings
        private set
    private val placement: () -> PlacementSettings = { this.settings.placement }
    private val state = IngressState()
    private val directory = TargetDirectory()
    private val crashes = CrashSuspicions(settings.name.value)
    private val contact = StoreContact { this.settings.reportPeriod }
    private val entryVms = KnownEntryVms(settings.name)
    private val shift = ShiftChangeLimiter({ placement().maximumShift }, settings.region)
    private val roundTripTimes = RoundTripTimes(placement)
    private val serviceQueues = HashMap<ServiceName, ServiceQueue>()
    private val eventLoopMonitor = EventLoopMonitor(clock)
    private var isLeaving = false
    private val stopped = CompletableDeferred<Unit>()

    /** End of this VM, once it shuts down. */
    private var stopDeadline: StopDeadline? = null

    /** Number of VMs that share limits, counted with each slow tick and when a VM appears. */
    private var participantCount = 1
    private var isAnnouncedLoadStale = false
    private var announcedLoadRefreshedAt = clock()

    private val feeds = FleetFeeds(
        store = store,
        decoders = decoders,
        state = state,
        directory = directory,
        contact = contact,
        log = log,
        clock = clock,
        reportPeriod = { this.settings.reportPeriod },
        onConfigChanged = { refreshPolicies(clock()) },
        onTargetsChanged = { refreshTargets(clock()) },
    )
    private val connections = TargetConnectionPool(
        vertx.createHttpClient(
            HttpClientOptions().setKeepAlive(true).setPipelining(false).setDecompressionSupported(false)
                .setTcpNoDelay(true),
            PoolOptions().setHttp1MaxSize(1),
        ),
        log,
        clock,
        onRefused = ::recordRefusedConnection,
        onStrayBytes = ::recordStrayBytes,
        onOpened = { target, duration ->
            crashes.recordAcceptedConnection(target.key)
            roundTripTimes.observe(target.zone, duration)
        },
    )
    private val forwarder = RequestForwarder(
        queues = { serviceQueues[it] },
        connections = connections,
        headerNames = headerNames,
        log = log,
        metrics = metrics,
        clock = clock,
        eventLoopMonitor = eventLoopMonitor,
        crashes = crashes,
        onTargetLeaving = { recordLeaving(it.key, "response") },
        members = { participantCount },
        connectionLimit = ::connectionLimit,
        connectTimeout = { roundTripTimes.estimate(it.zone) * CONNECT_ROUND_TRIPS + MINIMUM_CONNECT_TIME },
        stopDeadline = { stopDeadline },
    )
    private val handler = CallerRequestHandler(scope, state, forwarder, headerNames, log, metrics, clock)
    private val callers = CallerServer(
        vertx = vertx,
        clock = clock,
        limits = { state.currentOrNull?.config?.callerLimits },
        isLeaving = { isLeaving },
        serve = ::serveCaller,
        onFault = { recordFault("caller connection", it) },
    )
    private val snapshots = PeerSnapshots(vertx, feeds.byKind) { address, bytes ->
        metrics.countStrayBytes("peer")
        log.request("stray-bytes", "server" to "peer", "address" to address, "bytes" to bytes)
    }
    private val socket =
        AnnouncementSocket(
            vertx,
            SocketAddress(settings.listen.control.host, settings.peerPort),
            log,
            ::receiveAnnouncement,
        )
    private val announcements =
        AnnouncementExchange({ this.settings }, entryVms, System.currentTimeMillis(), log, socket::send)
    private val catchUp = FeedCatchUp(
        scope = scope,
        feeds = feeds.byKind,
        fetchOrNull = snapshots::fetchOrNull,
        onFault = { recordFault("catch-up", it) },
        configVersion = { feeds.configVersion },
        log = log,
    )
    private val probe = StoreProbe(
        store,
        feeds.byKind.values,
        contact,
        SilenceDetector { this.settings.changeLimit },
        metrics,
        log,
        clock,
    )
    private val registration = EntryVmRegistration(settings, store, entryVms, announcements, log)

    /** Whether callers may be sent to this VM: a config and targets were received, and the VM is not shutting down. */
    public val isReady: Boolean
        get() = !isLeaving && state.currentOrNull != null && feeds.haveTargetsListing

    /** Names of the targets that this VM knows at present. */
    internal val targetNames: Set<String>
        get() = directory.targets.mapTo(HashSet()) { it.key.name }

    /** Opens all ports and starts to follow the store. */
    public suspend fun start() {
        socket.open()
        listen(settings.listen.control) { snapshots.handle(it) }
        callers.listen(settings.listen.callers)
        for ((kind, feed) in feeds.byKind) keepRunning("feed $kind") { feed.run() }
        keepRunning("store probe") { probe.run() }
        keepRunning("registration") { registration.run() }
        keepRunning("ticks") { runTicks() }
        log.info("started", "vm" to settings.name.value, "zone" to settings.placement.zone.value)
    }

    /**
     * Opens a port on [address] whose requests go to [handle].
     *
     * Also used from outside for the ports whose paths depend on the platform.
     *
     * @throws java.io.IOException if the address can't be bound.
     */
    public suspend fun listen(address: SocketAddress, handle: (HttpServerRequest) -> Unit): HttpServer =
        vertx.createHttpServer().requestHandler { handle(it) }.listen(address.port, address.host).coAwait()

    /**
     * Puts those of [newer] into force that may change while the process runs; requests in progress are not affected.
     *
     * Returns whether all of [newer] is in force now; otherwise the rest takes effect when the process starts again.
     */
    public fun updateSettings(newer: GatewaySettings): Boolean {
        settings = settings.withChangesOf(newer)
        refreshTargets(clock())
        return settings == newer
    }

    /** Returns the addresses that a caller in [zone] of [region] may use for [GatewaySettings.lookupTimeToLive]. */
    public fun lookUp(zone: ZoneName?, region: RegionName?): List<SocketAddress> {
        val candidates = entryVms.acceptingCallers(clock()).map { EntryVm(it.callers, it.zone) } + ownEntry()
        val regions = settings.placement.regions
        // VMs of the region, not only of the zone: a caller that one VM refuses or disconnects needs another to try.
        val near = candidates.filter { regions[it.zone] == (region ?: zone?.let(regions::get)) }.ifEmpty { candidates }
        return near.map { it.callers }.shuffled().take(LOOKUP_ADDRESS_LIMIT)
    }

    /**
     * Prepares the end of the process: callers are directed to other VMs, and requests in progress may complete.
     *
     * Returns once no request is in progress, at the latest shortly before [GatewaySettings.stopTimeout] has passed. A
     * further call waits for the end of the first one.
     */
    public suspend fun stop() {
        if (isLeaving) return stopped.await()
        val stopAt = clock() + settings.stopTimeout - STOP_MARGIN
        val servesUntil = clock() + settings.lookupTimeToLive + LOOKUP_IN_TRANSIT_TIME
        isLeaving = true
        stopDeadline = StopDeadline(stopAt)
        log.info("leaving", "active_requests" to handler.activeCount, "connections" to callers.connectionCount)
        announceNow()
        scope.launch { runOnce("withdrawal") { registration.withdraw() } }
        while (clock() < servesUntil && clock() < stopAt) delay(STOP_POLL_PERIOD)
        // Callers with outdated lookup answers would otherwise keep this VM busy until it is killed.
        callers.stopAccepting()
        while ((callers.isBusy || handler.activeCount > 0) && clock() < stopAt) delay(STOP_POLL_PERIOD)
        val unfinished = handler.activeCount
        handler.endUnanswered()
        val flushedUntil = clock() + LAST_RESPONSES_TIME
        while ((callers.isBusy || handler.activeCount > 0) && clock() < flushedUntil) delay(STOP_POLL_PERIOD)
        log.info("stopped", "unfinished_requests" to unfinished)
        stopped.complete(Unit)
    }

    /** Runs [work], which ends only with the process, and starts it again after an unexpected exception. */
    private fun keepRunning(name: String, work: suspend () -> Unit) = scope.launch {
        while (true) {
            runOnce(name, work)
            delay(RESTART_DELAY)
        }
    }

    /** Runs [work] and records an unexpected exception that ends it. */
    private suspend fun runOnce(name: String, work: suspend () -> Unit) {
        try {
            work()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (@Suppress("TooGenericExceptionCaught") fault: Exception) {
            recordFault(name, fault)
        }
    }

    private fun recordFault(work: String, fault: Throwable) {
        metrics.countUnexpectedFault()
        log.warning("work-failed", "work" to work, "cause" to fault.stackTraceToString())
    }

    private class EntryVm(val callers: SocketAddress, val zone: ZoneName)

    private fun ownEntry(): List<EntryVm> =
        if (isReady) listOf(EntryVm(settings.listen.callers, settings.placement.zone)) else emptyList()

    private fun serveCaller(request: CallerRequest) {
        if (callers.isAccepting) handler.handle(request) else handler.refuseLeaving(request)
    }

    private fun connectionLimit(service: ServiceName): Int {
        val limit = state.currentOrNull?.config?.services?.get(service)?.maximumConnections ?: return 1
        return (limit / participantCount).coerceAtLeast(1)
    }

    private suspend fun runTicks() {
        var lastSlowTick = clock()
        while (true) {
            delay(TICK_PERIOD)
            eventLoopMonitor.timerFired()
            val now = clock()
            announce(now)
            dropExpiredTargets(now)
            val isRefreshDue = now - announcedLoadRefreshedAt >= ANNOUNCED_LOAD_REFRESH_PERIOD
            if (isAnnouncedLoadStale && isRefreshDue) refreshAnnouncedLoad(now)
            for (queue in serviceQueues.values) if (queue.pool.queueLength > 0) queue.dispatch()
            if (now - lastSlowTick >= SLOW_TICK_PERIOD) {
                lastSlowTick = now
                slowTick(now)
            }
        }
    }

    private fun dropExpiredTargets(now: MonotonicTime) {
        val ended = directory.expire(now)
        if (ended.isEmpty()) return
        log.info("targets-ended", "names" to ended)
        refreshTargets(now)
    }

    private fun slowTick(now: MonotonicTime) {
        // Silent VMs stop to count without an announcement.
        isAnnouncedLoadStale = true
        feeds.checkEra()
        feeds.takeHeld()
        refreshPolicies(now)
        crashes.expire(now)
        connections.closeUnused(directory.targets.mapTo(HashSet()) { it.key }, now)
        callers.closeStalled(now)
        metrics.setGauges(
            queuedRequests = serviceQueues.values.sumOf { it.pool.queueLength },
            rateLimitedTargets = serviceQueues.values.sumOf { it.pool.limitedTargetCount },
            suspendedRequests = crashes.suspendedCount(now),
            liveEntryVms = entryVms.live(now).size + 1,
            storeCalls = store.pendingCalls,
        )
    }

    private fun announce(now: MonotonicTime) =
        announcements.announce(isReady, feeds.announced(), announcedLoad(now), now)

    private fun announceNow() {
        val now = clock()
        announcements.announceNow(isReady, feeds.announced(), announcedLoad(now), now)
    }

    private fun announcedLoad(now: MonotonicTime) = AnnouncedLoad(
        occupiedSlots = occupiedSlots(),
        rates = {
            serviceQueues.values.flatMap { it.pool.rates(now).entries }.map { AnnouncedRate.of(it.key, it.value, now) }
        },
        crashes = { crashes.announced(now).map { AnnouncedCrash.of(it, now) } },
        leaving = { directory.leavingWithin(LEAVING_ANNOUNCEMENT, now).map(AnnouncedRate::hashOf) },
    )

    private fun recordLeaving(target: TargetKey, source: String) {
        val now = clock()
        if (!directory.recordLeaving(target, now)) return
        log.info("target-leaving", "name" to target.name, "started_at" to target.startedAtMillis, "source" to source)
        refreshTargets(now)
    }

    private fun recordStrayBytes(target: RegisteredTarget, bytes: String) {
        metrics.countStrayBytes("target")
        log.request(
            "stray-bytes",
            "target" to target.key.name,
            "started_at" to target.key.startedAtMillis,
            "bytes" to bytes,
        )
    }

    private fun recordRefusedConnection(target: RegisteredTarget) {
        val now = clock()
        val observed = crashes.recordRefusedConnection(target.key, now)
        for (crash in observed) {
            log.request(
                "target-ended-under-request",
                "target" to target.key.name,
                "started_at" to target.key.startedAtMillis,
                "fingerprint" to fingerprintText(crash.fingerprint),
                "suspended" to crashes.isSuspended(crash.fingerprint, now),
            )
        }
        if (observed.any { crashes.isSuspended(it.fingerprint, now) }) announceNow()
    }

    private fun occupiedSlots(): Map<Int, Int> {
        val result = HashMap<Int, Int>()
        for (queue in serviceQueues.values) {
            for ((name, slots) in queue.pool.occupiedSlots()) {
                result[Announcement.targetHash(name)] = (slots * Announcement.SLOT_UNITS).roundToInt()
            }
        }
        return result
    }

    private fun receiveAnnouncement(announcement: Announcement) {
        val now = clock()
        val change = announcements.receive(announcement, now)
        if (change == PeerChange.IGNORED) return
        isAnnouncedLoadStale = true
        for (hash in announcement.leaving) {
            directory.targets.firstOrNull {
                AnnouncedRate.hashOf(it.key) == hash
            }?.let { recordLeaving(it.key, "peer") }
        }
        for (crash in announcement.crashes) crashes.record(crash.toObservation(now), now)
        announcement.store.responseAge?.let { contact.recordResponseToPeer(now - it) }
        if (change == PeerChange.APPEARED) refreshPolicies(now)
        entryVms.live(now).firstOrNull { it.name.value == announcement.name }?.let(catchUp::fetchNewer)
    }

    private fun refreshAnnouncedLoad(now: MonotonicTime) {
        isAnnouncedLoadStale = false
        announcedLoadRefreshedAt = now
        val sums = HashMap<Int, Int>()
        for (peer in entryVms.live(now)) {
            for ((hash, count) in peer.announcement.occupiedSlots) sums.merge(hash, count, Int::plus)
        }
        val rates = AnnouncedRate.sum(entryVms.possibleSenders(now))
        for (queue in serviceQueues.values) {
            queue.pool.updateAnnouncedSlots { (sums[Announcement.targetHash(it)] ?: 0) / Announcement.SLOT_UNITS }
            queue.pool.updateAnnouncedRates { rates[AnnouncedRate.hashOf(it)] }
        }
    }

    private fun refreshPolicies(now: MonotonicTime) {
        val services = state.currentOrNull?.config?.services.orEmpty()
        val participants = entryVms.limitParticipants(now)
        participantCount = participants.size
        for ((name, queue) in serviceQueues) queue.pool.updatePolicy(services[name], participants)
    }

    private fun refreshTargets(now: MonotonicTime) {
        val byService = directory.targets.groupBy { it.service }
        for (service in serviceQueues.keys + byService.keys) {
            val queue = serviceQueues.getOrPut(service) { newServiceQueue() }
            queue.pool.updateTargets(withColdZones(byService[service].orEmpty()), directory.evacuatedZones, now)
            queue.dispatch()
        }
        refreshPolicies(now)
    }

    private fun withColdZones(targets: List<RegisteredTarget>): List<RegisteredTarget> = targets.map { target ->
        val coldUntil = directory.coldUntilOrNull(target.zone)
        if (coldUntil == null || coldUntil <= target.coldUntil) target else target.copy(coldUntil = coldUntil)
    }

    private fun newServiceQueue(): ServiceQueue {
        val pool = ServicePool(settings.name.value, placement, shift, roundTripTimes::estimate)
        val retries =
            SharedRetryBudget({ placement().retryRatio }, { placement().retrySlack }, placement().retryWindow)
        return ServiceQueue(pool, retries, clock)
    }

    private companion object {
        val TICK_PERIOD = 20.milliseconds
        val SLOW_TICK_PERIOD = 250.milliseconds

        /** Bounds the load of work that fails again and again; short against the limits of changes, 2.5 s and more. */
        val RESTART_DELAY = 100.milliseconds

        /**
         * The load of all peers is summed up this often at most, as dozens of VMs announce theirs hundreds of times a
         * second. Shorter than the period of the announcements of one VM.
         */
        val ANNOUNCED_LOAD_REFRESH_PERIOD = 60.milliseconds

        /** Several announcements, in case some are lost. */
        val LEAVING_ANNOUNCEMENT = 5.seconds
        val STOP_POLL_PERIOD = 20.milliseconds

        /** The process must end this long before it would be killed. */
        val STOP_MARGIN = 400.milliseconds

        /** For writing the responses to requests that are unfinished at the end; half of the margin. */
        val LAST_RESPONSES_TIME = STOP_MARGIN / 2

        /** A caller may still connect this long after a lookup response has expired. */
        val LOOKUP_IN_TRANSIT_TIME = 500.milliseconds
        const val LOOKUP_ADDRESS_LIMIT = 64
        const val CONNECT_ROUND_TRIPS = 3
        val MINIMUM_CONNECT_TIME = 150.milliseconds
    }
}
