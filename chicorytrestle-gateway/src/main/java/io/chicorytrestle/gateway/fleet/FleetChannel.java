package io.chicorytrestle.gateway.fleet;

import com.google.common.flogger.FluentLogger;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.fleet.ReaderRole;
import io.chicorytrestle.core.fleet.StoreContact;
import io.chicorytrestle.core.route.RoutingTable;
import io.chicorytrestle.gateway.link.EventLoopLag;
import io.chicorytrestle.gateway.operations.LogFields;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Random;

/**
 * Exchanges heartbeats with other instances, and requests from them what the store has not
 * delivered. It is confined to the event loop's thread.
 */
public final class FleetChannel {

    /** Logs new peers and rejected routing tables. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * The time in milliseconds for which this instance may lag behind a peer before it requests a
     * snapshot instead of waiting for the store.
     */
    private static final long STORE_LAG_TIMEOUT_MILLIS = 300;

    /** The shortest time in milliseconds between two requests for a snapshot. */
    private static final long SNAPSHOT_INTERVAL_MILLIS = 400;

    /**
     * The number of reachable other instances from which on a zone is large. In a smaller zone each
     * instance reads the routing table from the store; in a large zone the readers relay it,
     * because each change would otherwise cost one read of the store per instance.
     */
    private static final int LARGE_ZONE_INSTANCES = 8;

    /** The event loop. */
    private final NioReactor reactor;

    /** The address and zone of this instance. */
    private final PeerAddress self;

    /** A random number that distinguishes this process from earlier ones of the same name. */
    private final long incarnation;

    /** The routing table and the endpoints as known to this instance. */
    private final FleetState fleetState;

    /** The observations that are exchanged in heartbeats. */
    private final PeerObservations observations;

    /** The crashes that instances report to each other. */
    private final CrashExchange crashes;

    /** Exchanges the origins of streams. */
    private final StreamExchange streams;

    /** Creates the snapshots that peers request. */
    private final SnapshotFactory snapshots;

    /** Decodes published routing tables. */
    private final TableCodec codec;

    /** The known instances. */
    private final FleetMembership members;

    /** The connections opened by this instance. */
    private final FleetConnections connections;

    /** The connections opened by other instances. */
    private final AcceptedConnections accepted;

    /** Since when a peer has had a newer routing table. */
    private final PeerLag tableLag = new PeerLag(STORE_LAG_TIMEOUT_MILLIS);

    /** Since when a peer has had newer endpoints. */
    private final PeerLag endpointLag = new PeerLag(STORE_LAG_TIMEOUT_MILLIS);

    /** The time in milliseconds of the last request for a snapshot. */
    private long snapshotRequestedMillis;

    /** How this instance currently receives endpoint changes. */
    private StoreContact storeContact = StoreContact.LOST;

    /** The part of this instance in reading the store. */
    private ReaderRole role = ReaderRole.PRIMARY;

    /** Whether this instance accepts no more work. */
    private boolean isEnding;

    /**
     * Creates a channel, which does not listen yet.
     *
     * @param reactor The event loop.
     * @param self The address and zone of this instance, to which the server is bound.
     * @param seeds The addresses of instances to contact first.
     * @param fleetState The routing table and the endpoints as known to this instance.
     * @param observations The observations that are exchanged in heartbeats.
     * @param codec Decodes published routing tables.
     */
    public FleetChannel(
            NioReactor reactor,
            PeerAddress self,
            List<String> seeds,
            FleetState fleetState,
            PeerObservations observations,
            TableCodec codec) {
        this.reactor = reactor;
        this.self = self;
        this.fleetState = fleetState;
        this.observations = observations;
        crashes = new CrashExchange(observations);
        snapshots = new SnapshotFactory(self.name(), fleetState, observations);
        this.codec = codec;
        Random random = new Random();
        incarnation = random.nextLong();
        snapshotRequestedMillis = reactor.currentTimeMillis() - SNAPSHOT_INTERVAL_MILLIS;
        members = new FleetMembership(self, seeds, random);
        streams = new StreamExchange(reactor, members, observations.streamOrigins(), this::send);
        connections = new FleetConnections(reactor, this::handle);
        accepted = new AcceptedConnections(reactor, self.address(), this::handle);
    }

    /**
     * Starts to accept connections.
     *
     * @throws IOException If the address cannot be bound.
     */
    public void listen() throws IOException {
        accepted.listen();
    }

    /** Sends a heartbeat which states that this instance accepts no more work. */
    public void announceShutdown() {
        isEnding = true;
        sendHeartbeat(reactor.currentTimeMillis());
    }

    /**
     * Decides which part this instance has in reading the store for its zone.
     *
     * @param ownContact How it receives endpoint changes now; sent in heartbeats from now on.
     * @return The role.
     */
    public ReaderRole readerRole(StoreContact ownContact) {
        storeContact = ownContact;
        long nowMillis = reactor.currentTimeMillis();
        role = members.readerRole(ownContact, fleetState.endpointPosition().era(), nowMillis);
        boolean hasReader = ownContact == StoreContact.FOLLOWING && role != ReaderRole.PRIMARY;
        if (ownContact == StoreContact.READING || hasReader) {
            fleetState.recordContact(nowMillis);
        }
        return role;
    }

    /**
     * Decides whether this instance reads the routing table and the evacuations from the store
     * itself.
     *
     * @param readsEndpoints Whether it reads the list of endpoints from the store.
     * @return {@code true} if it does, if the zone is small, or until it knows the evacuations.
     */
    public boolean shouldReadTable(boolean readsEndpoints) {
        return readsEndpoints || !isZoneLarge() || !fleetState.evacuations().isKnown();
    }

    /**
     * Returns {@code true} if a few instances read the store for the whole zone.
     *
     * @return {@code true} if the zone has enough reachable instances.
     */
    private boolean isZoneLarge() {
        return members.reachableZoneAddresses(reactor.currentTimeMillis()).size()
                >= LARGE_ZONE_INSTANCES;
    }

    /**
     * Relays the current routing table along the zone's relay tree, if the zone is large. In a
     * smaller zone the primary reader only announces it, because the others read it themselves
     * unless their connections have gone silent.
     */
    public void relayTable() {
        if (isZoneLarge()) {
            long nowMillis = reactor.currentTimeMillis();
            byte[] message =
                    FleetCodec.encode(
                            new PublishedTable(
                                    self.name(), ByteBuffer.wrap(fleetState.publishedTable())));
            for (String address : members.relayAddresses(nowMillis)) {
                send(address, message, nowMillis);
            }
        } else if (role == ReaderRole.PRIMARY) {
            announceState();
        }
    }

    /**
     * Sends a heartbeat at once, which states the version of the routing table and the position of
     * the endpoints.
     */
    private void announceState() {
        long nowMillis = reactor.currentTimeMillis();
        sendHeartbeat(
                members.isBroadcasting()
                        ? members.reachableAddresses(nowMillis)
                        : members.reachableZoneAddresses(nowMillis),
                nowMillis);
    }

    /**
     * Sends what changed in the store to all reachable instances of the zone. The primary reader
     * announces it to other zones, too, whose connections may have gone silent.
     *
     * @param changes The endpoints or evacuations that this instance read.
     */
    public void broadcastToZone(FleetMessage changes) {
        long nowMillis = reactor.currentTimeMillis();
        byte[] message = FleetCodec.encode(changes);
        for (String address : members.reachableZoneAddresses(nowMillis)) {
            send(address, message, nowMillis);
        }
        if (role == ReaderRole.PRIMARY && members.isBroadcasting()) {
            announceState();
        }
    }

    /**
     * Replaces the addresses of instances to contact first.
     *
     * @param seeds The addresses, each as IP number and port.
     */
    public void replaceSeeds(List<String> seeds) {
        members.replaceSeeds(seeds);
    }

    /**
     * Returns the origins of streams that other instances know.
     *
     * @return The exchange with them.
     */
    public PeerStreams streams() {
        return streams;
    }

    /**
     * Returns the number of known instances besides this one.
     *
     * @return The number, including instances that are currently unreachable.
     */
    public int peerCount() {
        return members.size();
    }

    /**
     * Returns the names of the known other instances.
     *
     * @return The names, also of instances that are currently unreachable.
     */
    public List<String> peerNames() {
        return members.names();
    }

    /**
     * Removes expired peers and sends a heartbeat to the next targets.
     *
     * @param nowMillis The current time in milliseconds.
     */
    public void sendHeartbeat(long nowMillis) {
        members.expire(nowMillis);
        connections.closeSilent(nowMillis);
        accepted.closeIdle(nowMillis);
        observations.loads().setExpectedPeers(members.size());
        sendHeartbeat(members.nextTargets(storeContact, nowMillis), nowMillis);
    }

    /**
     * Sends a heartbeat.
     *
     * @param targets The addresses to which it is sent, possibly none.
     * @param nowMillis The current time in milliseconds.
     */
    private void sendHeartbeat(List<String> targets, long nowMillis) {
        if (targets.isEmpty()) {
            return;
        }
        byte[] message =
                FleetCodec.encode(
                        new Heartbeat(
                                self,
                                incarnation,
                                fleetState.tableVersion(),
                                fleetState.endpointPosition(),
                                isEnding,
                                storeContact,
                                observations.loads().ownCounts(),
                                observations.outcomes().ownOutcomes(nowMillis),
                                fleetState.leaving(),
                                observations.crashes().recentNotices(nowMillis),
                                members.sampleReachablePeers(nowMillis),
                                observations.promptParts().ownReads(nowMillis),
                                observations.partCrashes().recentNotices(nowMillis),
                                fleetState.evacuations(),
                                true));
        for (String address : targets) {
            send(address, message, nowMillis);
        }
    }

    /**
     * Sends a message to an instance, reconnecting if it is unreachable.
     *
     * @param address The address of the instance.
     * @param message The encoded message.
     * @param nowMillis The current time in milliseconds.
     */
    private void send(String address, byte[] message, long nowMillis) {
        connections.send(address, message, members.isReachable(address, nowMillis), nowMillis);
    }

    /**
     * Handles a message from another instance.
     *
     * @param connection The connection on which it arrived and a reply is sent.
     * @param message The decoded message.
     */
    private void handle(FleetConnection connection, FleetMessage message) {
        long nowMillis = reactor.currentTimeMillis();
        if (message instanceof Heartbeat heartbeat) {
            handle(heartbeat, nowMillis);
        } else if (message instanceof SnapshotRequest request) {
            Snapshot reply = snapshots.reply(request, nowMillis);
            connection.send(FleetCodec.encode(reply), nowMillis);
        } else if (message instanceof Snapshot snapshot) {
            handle(snapshot, nowMillis);
        } else if (message instanceof EndpointChanges changes) {
            fleetState.applyFromPeer(changes, nowMillis);
        } else if (message instanceof EvacuationNotice notice) {
            fleetState.acceptEvacuations(notice.evacuations(), notice.sender(), nowMillis);
        } else if (message instanceof PublishedTable published) {
            handle(published.table(), published.sender());
        } else if (message instanceof StreamNotice notice) {
            streams.record(notice, nowMillis);
        } else if (message instanceof StreamQuery query) {
            connection.send(FleetCodec.encode(streams.reply(query, nowMillis)), nowMillis);
        } else if (message instanceof StreamReply reply) {
            streams.handle(reply);
        }
    }

    /**
     * Records what a heartbeat reports, and requests a snapshot if its sender has had newer state
     * for some time.
     *
     * @param heartbeat The heartbeat.
     * @param nowMillis The current time in milliseconds.
     */
    private void handle(Heartbeat heartbeat, long nowMillis) {
        if (members.recordHeartbeat(heartbeat, nowMillis)) {
            crashes.recordFoundPeer(heartbeat.sender().name());
            LOGGER.atInfo()
                    .with(LogFields.PEER, heartbeat.sender().name())
                    .with(LogFields.ADDRESS, heartbeat.sender().address())
                    .with(LogFields.COUNT, members.size())
                    .log("peer_found");
        }
        if (heartbeat.isEnding()
                && !members.isZoneReachable(heartbeat.sender().zone(), nowMillis)) {
            observations.zoneReachability().removeZone(heartbeat.sender().zone());
        } else {
            observations.zoneReachability().recordContact(heartbeat.sender().zone(), nowMillis);
        }
        observations
                .loads()
                .recordPeerCounts(
                        heartbeat.sender().name(), heartbeat.requestsInFlight(), nowMillis);
        if (heartbeat.sender().zone().equals(self.zone())) {
            observations
                    .outcomes()
                    .recordPeerOutcomes(heartbeat.sender().name(), heartbeat.outcomes(), nowMillis);
        }
        observations.promptParts().recordPeerReads(heartbeat.promptReads(), nowMillis);
        fleetState.noticeEra(heartbeat.endpointPosition().era(), nowMillis);
        fleetState.acceptEvacuations(heartbeat.evacuations(), heartbeat.sender().name(), nowMillis);
        crashes.record(heartbeat, nowMillis);
        streams.record(heartbeat);
        for (String leaving : heartbeat.leaving()) {
            fleetState.markLeaving(leaving, heartbeat.sender().name(), nowMillis);
        }
        if (crashes.shouldAsk(heartbeat.sender().name())) {
            requestSnapshot(heartbeat.sender(), nowMillis);
        }
        requestSnapshotIfBehind(heartbeat, nowMillis);
    }

    /**
     * Requests a snapshot from the sender of a heartbeat if it has had newer state for some time,
     * or once that time has passed.
     *
     * @param heartbeat The heartbeat.
     * @param nowMillis The current time in milliseconds.
     */
    private void requestSnapshotIfBehind(Heartbeat heartbeat, long nowMillis) {
        boolean isTableBehind = heartbeat.tableVersion() > fleetState.tableVersion();
        boolean areEndpointsBehind =
                heartbeat.endpointPosition().isAfter(fleetState.endpointPosition());
        boolean isTableLagNew =
                isTableBehind && tableLag.begin(fleetState.tableVersion(), nowMillis);
        boolean isEndpointLagNew =
                areEndpointsBehind && endpointLag.begin(fleetState.endpointPosition(), nowMillis);
        if (isTableLagNew || isEndpointLagNew) {
            EventLoopLag.delayUntilInputIsHandled(
                    reactor,
                    STORE_LAG_TIMEOUT_MILLIS,
                    () -> requestSnapshotIfBehind(heartbeat, reactor.currentTimeMillis()));
        }
        boolean isTableDue = isTableBehind && tableLag.isDue(nowMillis);
        boolean areEndpointsDue = areEndpointsBehind && endpointLag.isDue(nowMillis);
        boolean isFirstTableDue =
                fleetState.tableVersion() == 0 && (isTableBehind || areEndpointsBehind);
        boolean isDue = isTableDue || areEndpointsDue || isFirstTableDue;
        if (isDue) {
            requestSnapshot(heartbeat.sender(), nowMillis);
        }
    }

    /**
     * Requests a snapshot, unless that was done a moment ago.
     *
     * @param peer The instance to ask.
     * @param nowMillis The current time in milliseconds.
     */
    private void requestSnapshot(PeerAddress peer, long nowMillis) {
        if (nowMillis - snapshotRequestedMillis >= SNAPSHOT_INTERVAL_MILLIS) {
            snapshotRequestedMillis = nowMillis;
            SnapshotRequest request =
                    new SnapshotRequest(fleetState.tableVersion(), fleetState.endpointPosition());
            send(peer.address(), FleetCodec.encode(request), nowMillis);
        }
    }

    /**
     * Applies a snapshot.
     *
     * @param snapshot The snapshot.
     * @param nowMillis The current time in milliseconds.
     */
    private void handle(Snapshot snapshot, long nowMillis) {
        crashes.record(snapshot, nowMillis);
        fleetState.acceptEvacuations(snapshot.evacuations(), snapshot.sender(), nowMillis);
        if (snapshot.table().hasRemaining()) {
            handle(snapshot.table(), snapshot.sender());
        }
        fleetState.applyFromPeer(snapshot, nowMillis);
    }

    /**
     * Accepts a routing table if it is newer than the current one, and relays it then.
     *
     * @param encodedTable The encoded table as it was published.
     * @param peer The name of the instance that sent it.
     */
    private void handle(ByteBuffer encodedTable, String peer) {
        byte[] published = new byte[encodedTable.remaining()];
        encodedTable.duplicate().get(published);
        try {
            RoutingTable table = codec.decode(published);
            if (fleetState.acceptTable(table, published, peer)) {
                relayTable();
            }
        } catch (IOException exception) {
            LOGGER.atWarning()
                    .with(LogFields.PEER, peer)
                    .with(LogFields.REASON, String.valueOf(exception.getMessage()))
                    .log("peer_table_refused");
        }
    }
}
