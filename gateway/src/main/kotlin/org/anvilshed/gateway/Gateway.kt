package org.anvilshed.gateway

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.PoolOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.ZoneName
import org.anvilshed.core.fleet.RegisteredTarget
import org.anvilshed.core.fleet.TargetDirectory
import org.anvilshed.core.placement.ServicePool
import org.anvilshed.core.placement.SharedRetryBudget
import org.anvilshed.core.placement.ShiftChangeLimiter
import org.anvilshed.gateway.peers.Announcement
import org.anvilshed.gateway.peers.EntryVmRegistration
import org.anvilshed.gateway.peers.FeedCatchUp
import org.anvilshed.gateway.peers.Membership
import org.anvilshed.gateway.peers.PeerChange
import org.anvilshed.gateway.peers.PeerExchange
import org.anvilshed.gateway.peers.PeerSnapshots
import org.anvilshed.gateway.peers.PeerSocket
import org.anvilshed.gateway.requests.RequestDispatcher
import org.anvilshed.gateway.requests.RequestHandler
import org.anvilshed.gateway.requests.ServiceLane
import org.anvilshed.gateway.store.ObjectStore
import org.anvilshed.gateway.targets.TargetConnections
import kotlin.math.roundToInt
import kotlin.time.Duration.Companion.milliseconds

/** Process of one entry VM: serves callers, follows the store and talks to the other entry VMs. */
public class Gateway(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val settings: GatewaySettings,
    names: RequestHeaders,
    store: ObjectStore,
    decoders: StoreDecoders,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val clock: Clock = systemClock,
) {
    private val state = IngressState()
    private val directory = TargetDirectory()
    private val membership = Membership(settings.name)
    private val shift = ShiftChangeLimiter(settings.placement.maximumShift, settings.region)
    private val trips = TripTimes(settings.placement)
    private val lanes = HashMap<ServiceName, ServiceLane>()
    private val callerConnections = CallerConnections(clock)
    private val turns = EventLoopTurns(clock)
    private var leaving = false

    private val feeds = FleetFeeds(
        store = store,
        decoders = decoders,
        state = state,
        directory = directory,
        log = log,
        clock = clock,
        configChanged = { refreshPolicies(clock()) },
        targetsChanged = { refreshTargets(clock()) },
    )
    private val connections = TargetConnections(
        vertx.createHttpClient(
            HttpClientOptions().setKeepAlive(true).setPipelining(false).setDecompressionSupported(false)
                .setMaxHeaderSize(LARGEST_HEADER_BYTES).setTcpNoDelay(true),
            PoolOptions().setHttp1MaxSize(1),
        ),
        log,
        clock,
        opened = { target, duration -> trips.observe(target.zone, duration) },
    )
    private val dispatcher = RequestDispatcher(
        lanes = { lanes[it] },
        connections = connections,
        names = names,
        log = log,
        metrics = metrics,
        clock = clock,
        turns = turns,
        members = { membership.limitHolders(clock()).size },
        connectionLimit = ::connectionLimit,
        connectTimeout = { trips.of(it.zone) * CONNECT_TRIPS + CONNECT_MINIMUM },
    )
    private val handler = RequestHandler(scope, state, dispatcher, names, log, metrics, clock) { leaving }
    private val snapshots = PeerSnapshots(vertx, feeds.byKind)
    private val socket = PeerSocket(vertx, SocketAddress(settings.listen.control.host, settings.peerPort), log, ::heard)
    private val peers = PeerExchange(settings, membership, System.currentTimeMillis(), log, socket::send)
    private val catchUp = FeedCatchUp(scope, feeds.byKind, snapshots, log)
    private val registration = EntryVmRegistration(settings, store, membership, peers, log)

    /** Whether callers should be sent here: a config and targets are known and the VM is not leaving. */
    public val isReady: Boolean
        get() = !leaving && state.currentOrNull != null && feeds.areTargetsKnown

    /** Opens all ports and starts to follow the store. */
    public suspend fun start() {
        socket.open()
        listen(settings.listen.control) { snapshots.handle(it) }
        listen(settings.listen.callers, callerOptions()) { serveCaller(it) }
        for (feed in feeds.byKind.values) scope.launch { feed.run() }
        scope.launch { registration.run() }
        scope.launch { tick() }
        log.belief("started", "vm" to settings.name.value, "zone" to settings.placement.zone.value)
    }

    /** Opens a port of this process; used for the calls whose paths the platform fixes. */
    public suspend fun listen(
        address: SocketAddress,
        options: HttpServerOptions = HttpServerOptions(),
        handle: (HttpServerRequest) -> Unit,
    ): HttpServer {
        val server = vertx.createHttpServer(options)
        if (address == settings.listen.callers) server.connectionHandler { callerConnections.opened(it) }
        server.requestHandler { handle(it) }
        return server.listen(address.port, address.host).coAwait()
    }

    /** Returns the addresses that a caller in [zone] of [region] should use, for the look-up time to live. */
    public fun lookUp(zone: ZoneName?, region: RegionName?): List<SocketAddress> {
        val taking = membership.taking(clock()).map { EntryVm(it.callers, it.zone) } + ownEntry()
        val regions = settings.placement.regions
        // A caller that was refused or cut off by one VM needs another one to turn to, so the zone alone is too small.
        val near = taking.filter { regions[it.zone] == (region ?: zone?.let(regions::get)) }.ifEmpty { taking }
        return near.map { it.callers }.shuffled().take(LOOKUP_LIMIT)
    }

    /** Stops gracefully: callers are sent elsewhere, requests are completed, then all ports close. */
    public suspend fun stop() {
        if (leaving) return
        val stopAt = clock() + settings.stopTimeout - STOP_MARGIN
        val servesUntil = clock() + settings.lookupTimeToLive + LEAVING_EXTRA
        leaving = true
        log.belief("leaving", "active_requests" to handler.activeCount, "connections" to callerConnections.count)
        announceNow()
        scope.launch { registration.withdraw() }
        while (clock() < servesUntil && clock() < stopAt) delay(STOP_POLL)
        while (handler.activeCount > 0 && clock() < stopAt) delay(STOP_POLL)
        log.belief("stopped", "unfinished_requests" to handler.activeCount)
    }

    private class EntryVm(val callers: SocketAddress, val zone: ZoneName)

    private fun ownEntry(): List<EntryVm> =
        if (isReady) listOf(EntryVm(settings.listen.callers, settings.placement.zone)) else emptyList()

    private fun callerOptions(): HttpServerOptions =
        HttpServerOptions().setMaxHeaderSize(LARGEST_HEADER_BYTES).setMaxInitialLineLength(LARGEST_HEADER_BYTES)
            .setTcpNoDelay(true).setAcceptBacklog(ACCEPT_BACKLOG).setCompressionSupported(false)
            // The detection of HTTP/2 would hand the first bytes of a connection to the decoder past the head guard.
            .setHttp2ClearTextEnabled(false)

    private fun serveCaller(request: HttpServerRequest) {
        val connection = request.connection()
        callerConnections.requestStarted(connection)
        request.response().endHandler { callerConnections.requestEnded(connection) }
        handler.handle(request)
    }

    private fun connectionLimit(service: ServiceName): Int {
        val limit = state.currentOrNull?.config?.services?.get(service)?.maximumConnections ?: return 1
        return (limit / membership.limitHolders(clock()).size).coerceAtLeast(1)
    }

    private suspend fun tick() {
        var lastSlowTick = clock()
        while (true) {
            delay(TICK)
            turns.timerFired()
            val now = clock()
            announce(now)
            for (lane in lanes.values) if (lane.pool.queueLength > 0) lane.pump()
            if (now - lastSlowTick >= SLOW_TICK) {
                lastSlowTick = now
                slowTick(now)
            }
        }
    }

    private fun slowTick(now: MonotonicTime) {
        val ended = directory.expire(now)
        if (ended.isNotEmpty()) {
            log.belief("targets-ended", "names" to ended)
            refreshTargets(now)
        }
        refreshPolicies(now)
        connections.closeUnused(directory.targets.mapTo(HashSet()) { it.key }, now)
        state.currentOrNull?.let { callerConnections.closeStalled(it.config.callerLimits, now) }
        metrics.setSizes(lanes.values.sumOf { it.pool.queueLength }, membership.live(now).size + 1)
    }

    private fun announce(now: MonotonicTime) = peers.announce(isReady, feeds.revisions(), occupiedSlots(), now)

    private fun announceNow() = peers.announceNow(isReady, feeds.revisions(), occupiedSlots(), clock())

    private fun occupiedSlots(): Map<Int, Int> {
        val result = HashMap<Int, Int>()
        for (lane in lanes.values) {
            for ((name, slots) in lane.pool.occupiedSlots()) {
                result[Announcement.targetHash(name)] = (slots * Announcement.SLOT_UNITS).roundToInt()
            }
        }
        return result
    }

    private fun heard(announcement: Announcement) {
        val now = clock()
        val change = peers.receive(announcement, now)
        if (change == PeerChange.IGNORED) return
        refreshAnnounced(now)
        if (change == PeerChange.APPEARED) refreshPolicies(now)
        membership.live(now).firstOrNull { it.name.value == announcement.name }?.let(catchUp::compare)
    }

    private fun refreshAnnounced(now: MonotonicTime) {
        val sums = HashMap<Int, Int>()
        for (peer in membership.live(now)) {
            for ((hash, count) in peer.announcement.occupiedSlots) sums.merge(hash, count, Int::plus)
        }
        for (lane in lanes.values) {
            lane.pool.updateAnnouncedSlots { (sums[Announcement.targetHash(it)] ?: 0) / Announcement.SLOT_UNITS }
            if (lane.pool.queueLength > 0) lane.pump()
        }
    }

    private fun refreshPolicies(now: MonotonicTime) {
        val services = state.currentOrNull?.config?.services.orEmpty()
        val holders = membership.limitHolders(now)
        for ((name, lane) in lanes) lane.pool.updatePolicy(services[name], holders)
    }

    private fun refreshTargets(now: MonotonicTime) {
        val byService = directory.targets.groupBy { it.service }
        for (service in lanes.keys + byService.keys) {
            val lane = lanes.getOrPut(service) { newLane() }
            lane.pool.updateTargets(withColdZones(byService[service].orEmpty()), directory.evacuatedZones, now)
            lane.pump()
        }
        refreshPolicies(now)
    }

    private fun withColdZones(targets: List<RegisteredTarget>): List<RegisteredTarget> = targets.map { target ->
        val coldUntil = directory.coldUntilOrNull(target.zone)
        if (coldUntil == null || coldUntil <= target.coldUntil) target else target.copy(coldUntil = coldUntil)
    }

    private fun newLane(): ServiceLane {
        val placement = settings.placement
        val pool = ServicePool(settings.name.value, placement, shift, trips::of)
        return ServiceLane(
            pool,
            SharedRetryBudget(placement.retryRatio, placement.retrySlack, placement.retryWindow),
            clock,
        )
    }

    private companion object {
        val TICK = 20.milliseconds
        val SLOW_TICK = 250.milliseconds
        val STOP_POLL = 20.milliseconds

        /** The process has to be gone before the platform kills it. */
        val STOP_MARGIN = 400.milliseconds

        /** Callers may be on their way with an answer that was given just before. */
        val LEAVING_EXTRA = 500.milliseconds
        const val LOOKUP_LIMIT = 64
        const val LARGEST_HEADER_BYTES = 65_536
        const val ACCEPT_BACKLOG = 1024
        const val CONNECT_TRIPS = 3
        val CONNECT_MINIMUM = 150.milliseconds
    }
}
