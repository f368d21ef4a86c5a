package org.anvilshed.gateway

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.PoolOptions
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.ZoneName
import org.anvilshed.core.fleet.FleetTarget
import org.anvilshed.core.fleet.TargetDirectory
import org.anvilshed.core.ingress.IngressConfig
import org.anvilshed.core.placement.RetryAllowance
import org.anvilshed.core.placement.ServicePool
import org.anvilshed.core.placement.ShiftBand
import org.anvilshed.gateway.peers.Announcement
import org.anvilshed.gateway.peers.Membership
import org.anvilshed.gateway.peers.PeerChange
import org.anvilshed.gateway.peers.PeerExchange
import org.anvilshed.gateway.peers.PeerSnapshots
import org.anvilshed.gateway.peers.PeerSocket
import org.anvilshed.gateway.peers.PeerVm
import org.anvilshed.gateway.requests.RequestDispatcher
import org.anvilshed.gateway.requests.RequestHandler
import org.anvilshed.gateway.requests.ServiceLane
import org.anvilshed.gateway.store.ObjectStore
import org.anvilshed.gateway.store.StoreEvent
import org.anvilshed.gateway.store.StoreFeed
import org.anvilshed.gateway.store.StoreFeedListener
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.store.StoreObject
import org.anvilshed.gateway.store.StoreResult
import org.anvilshed.gateway.targets.TargetConnections
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Reads objects of the store into the types of the gateway; each function returns `null` for what it can't read.
 *
 * @property target also gets the present time, to which the remaining cold time of a target is relative.
 */
public class StoreDecoders(
    public val config: (StoreObject) -> IngressConfig?,
    public val target: (StoreObject, MonotonicTime) -> FleetTarget?,
    public val evacuatedZone: (StoreObject) -> ZoneName?,
)

/** Process of one entry VM: serves callers, follows the store and talks to the other entry VMs. */
public class Gateway(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val settings: GatewaySettings,
    names: RequestHeaders,
    private val store: ObjectStore,
    private val decoders: StoreDecoders,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val clock: Clock = systemClock,
) {
    private val state = IngressState()
    private val directory = TargetDirectory()
    private val membership = Membership(settings.name)
    private val shift = ShiftBand(settings.placement.maximumShift)
    private val trips = TripTimes(settings.placement)
    private val lanes = HashMap<ServiceName, ServiceLane>()
    private val callerConnections = CallerConnections(clock)
    private val startedAtMillis = System.currentTimeMillis()
    private var targetsKnown = false
    private var leaving = false
    private var knownEntryVmHosts = emptyList<SocketAddress>()

    private val feeds: Map<StoreKind, StoreFeed> = mapOf(
        StoreKind.CONFIG to configListener(),
        StoreKind.TARGETS to targetListener(),
        StoreKind.EVACUATIONS to evacuationListener(),
    ).mapValues { (kind, listener) -> StoreFeed(kind, store, listener, log, clock) }

    private val connections = TargetConnections(
        vertx.createHttpClient(
            HttpClientOptions().setKeepAlive(true).setPipelining(false).setDecompressionSupported(false)
                .setMaxHeaderSize(LARGEST_HEADER_BYTES).setTcpNoDelay(true),
            PoolOptions().setHttp1MaxSize(1),
        ),
        clock,
    )
    private val dispatcher = RequestDispatcher(
        lanes = { lanes[it] },
        connections = connections,
        names = names,
        log = log,
        metrics = metrics,
        clock = clock,
        members = { membership.limitHolders(clock()).size },
        connectionLimit = ::connectionLimit,
        connectTimeout = { trips.of(it.zone) * CONNECT_TRIPS + CONNECT_MINIMUM },
        connected = { target, duration -> if (duration > Duration.ZERO) trips.observe(target.zone, duration) },
    )
    private val handler = RequestHandler(scope, state, dispatcher, names, log, metrics, clock) { leaving }
    private val snapshots = PeerSnapshots(vertx, feeds)
    private val socket = PeerSocket(vertx, SocketAddress(settings.listen.control.host, settings.peerPort), log, ::heard)
    private val peers = PeerExchange(settings, membership, startedAtMillis, log, socket::send)
    private var callerServer: HttpServer? = null

    /** Whether callers should be sent here: a config and targets are known and the VM is not leaving. */
    public val isReady: Boolean
        get() = !leaving && state.currentOrNull != null && targetsKnown

    /** Opens all ports and starts to follow the store. */
    public suspend fun start() {
        socket.open()
        listen(settings.listen.control) { snapshots.handle(it) }
        callerServer = listen(settings.listen.callers, callerOptions()) { serveCaller(it) }
        for (feed in feeds.values) scope.launch { feed.run() }
        scope.launch { register() }
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
        scope.launch { store.delete(StoreKind.ENTRY_VMS, settings.name.value) }
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

    private fun announce(now: MonotonicTime) = peers.announce(isReady, revisions(), occupiedSlots(), now)

    private fun announceNow() = peers.announceNow(isReady, revisions(), occupiedSlots(), clock())

    private fun revisions(): List<Long> = StoreKind.entries.map { feeds[it]?.changedRevision ?: -1 }

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
        val peer = membership.live(now).firstOrNull { it.name.value == announcement.name } ?: return
        for ((index, revision) in announcement.revisions.withIndex()) {
            val feed = feeds[StoreKind.entries.getOrNull(index)] ?: continue
            if (revision > feed.changedRevision) catchUpLater(feed, peer, revision)
        }
    }

    private val catchingUp = HashSet<StoreKind>()

    /** Asks a peer for a newer copy, unless this VM's own watch brings it meanwhile. */
    private fun catchUpLater(feed: StoreFeed, peer: PeerVm, revision: Long) {
        if (!catchingUp.add(feed.kind)) return
        scope.launch {
            try {
                if (feed.isKnown) delay(CATCH_UP_DELAY)
                if (feed.changedRevision < revision) {
                    val listing = snapshots.fetchOrNull(peer.control, feed.kind)
                    if (listing != null) feed.adopt(listing) else log.belief("peer-copy-missing", "peer" to peer.name)
                }
            } finally {
                catchingUp.remove(feed.kind)
            }
        }
    }

    private fun refreshAnnounced(now: MonotonicTime) {
        val sums = HashMap<Int, Int>()
        for (peer in membership.live(now)) {
            for ((hash, count) in peer.announcement.occupiedSlots) sums.merge(hash, count, Int::plus)
        }
        for (lane in lanes.values) {
            lane.pool.updateAnnounced { (sums[Announcement.targetHash(it)] ?: 0) / Announcement.SLOT_UNITS }
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

    private fun withColdZones(targets: List<FleetTarget>): List<FleetTarget> = targets.map { target ->
        val coldUntil = directory.coldUntilOrNull(target.zone)
        if (coldUntil == null || coldUntil <= target.coldUntil) target else target.copy(coldUntil = coldUntil)
    }

    private fun newLane(): ServiceLane {
        val placement = settings.placement
        val pool = ServicePool(settings.name.value, placement, shift, trips::of)
        return ServiceLane(
            pool,
            RetryAllowance(placement.retryRatio, placement.retrySlack, placement.retryWindow),
            clock,
        )
    }

    private fun configListener() = object : StoreFeedListener {
        override fun listed(objects: List<StoreObject>, storeWasAway: Boolean) = objects.forEach(::read)

        override fun changed(events: List<StoreEvent>, storeWasAway: Boolean) =
            events.filterNot { it.removed }.forEach { read(it.changed) }

        private fun read(stored: StoreObject) {
            val config = decoders.config(stored)
            if (config == null) {
                log.warning("config-unreadable", "object" to stored.name, "revision" to stored.revision)
            } else if (state.replace(config)) {
                log.belief("config-in-force", "version" to config.version, "routes" to config.routes.size)
                refreshPolicies(clock())
            }
        }
    }

    private fun targetListener() = object : StoreFeedListener {
        override fun listed(objects: List<StoreObject>, storeWasAway: Boolean) {
            val now = clock()
            directory.replaceAll(objects.mapNotNull { read(it, now) }, storeWasAway, now)
            targetsKnown = true
            log.belief("targets-listed", "count" to objects.size, "store_was_away" to storeWasAway)
            refreshTargets(now)
        }

        override fun changed(events: List<StoreEvent>, storeWasAway: Boolean) {
            val now = clock()
            for (event in events) {
                val target = if (event.removed) null else read(event.changed, now)
                if (target == null) directory.remove(event.changed.name, storeWasAway, now) else directory.put(target)
                log.belief(
                    "target-changed",
                    "name" to event.changed.name,
                    "removed" to event.removed,
                    "draining" to target?.draining,
                    "zone" to target?.zone?.value,
                    "revision" to event.changed.revision,
                )
            }
            refreshTargets(now)
        }

        private fun read(stored: StoreObject, now: MonotonicTime): FleetTarget? {
            val target = decoders.target(stored, now)
            if (target == null) log.warning("target-unreadable", "object" to stored.name, "revision" to stored.revision)
            return target
        }
    }

    private fun evacuationListener() = object : StoreFeedListener {
        private val zones = HashMap<String, ZoneName>()

        override fun listed(objects: List<StoreObject>, storeWasAway: Boolean) {
            zones.clear()
            objects.forEach(::read)
            apply()
        }

        override fun changed(events: List<StoreEvent>, storeWasAway: Boolean) {
            for (event in events) if (event.removed) zones.remove(event.changed.name) else read(event.changed)
            apply()
        }

        private fun read(stored: StoreObject) {
            decoders.evacuatedZone(stored)?.let { zones[stored.name] = it }
        }

        private fun apply() {
            val now = clock()
            val coldDuration =
                state.currentOrNull?.config?.services?.values?.maxOfOrNull { it.coldDuration } ?: 3.seconds
            directory.replaceEvacuations(zones.values.toSet(), coldDuration, now)
            log.belief("evacuations", "zones" to zones.values)
            refreshTargets(now)
        }
    }

    /** Registers this VM in the store, and reads now and then who else is registered. */
    private suspend fun register() {
        val content = JsonObject().put("control", settings.listen.control.toString())
            .put("zone", settings.placement.zone.value)
        var registered = false
        while (true) {
            if (!registered && !leaving) {
                registered = store.put(StoreKind.ENTRY_VMS, settings.name.value, content) is StoreResult.Success
            }
            val listing = store.list(StoreKind.ENTRY_VMS, staleAllowed = true)
            if (listing is StoreResult.Success) {
                membership.replaceRegistered(listing.value.objects.map { it.name })
                knownEntryVmHosts = listing.value.objects.mapNotNull { entry ->
                    entry.content?.getValue("control")?.let { SocketAddress.parseOrNull(it.toString()) }
                }
                peers.addCandidates(knownEntryVmHosts)
            }
            delay(if (registered) REGISTRATION_PERIOD else REGISTRATION_RETRY)
        }
    }

    private companion object {
        val TICK = 20.milliseconds
        val SLOW_TICK = 250.milliseconds

        /** Longer than a feed pauses between two watches, so that a peer is asked only if the watch is silent. */
        val CATCH_UP_DELAY = 500.milliseconds
        val STOP_POLL = 20.milliseconds

        /** The process has to be gone before the platform kills it. */
        val STOP_MARGIN = 400.milliseconds

        /** Callers may be on their way with an answer that was given just before. */
        val LEAVING_EXTRA = 500.milliseconds
        val REGISTRATION_PERIOD = 10.seconds
        val REGISTRATION_RETRY = 1.seconds
        const val LOOKUP_LIMIT = 64
        const val LARGEST_HEADER_BYTES = 65_536
        const val ACCEPT_BACKLOG = 1024
        const val CONNECT_TRIPS = 3
        val CONNECT_MINIMUM = 150.milliseconds
    }
}
