package io.chicorytrestle.gateway.fleet;

import com.google.common.flogger.FluentLogger;
import io.activej.net.SimpleServer;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.fleet.ReaderSelection;
import io.chicorytrestle.core.fleet.StoreContact;
import io.chicorytrestle.core.route.RoutingTable;
import io.chicorytrestle.gateway.link.Addresses;
import io.chicorytrestle.gateway.operations.LogFields;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Exchanges beats with other instances, and fetches from them what the store has not told. It is
 * confined to the event loop's thread.
 */
public final class FleetChannel {

    /** Reports peers that are found and lost. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * The time in milliseconds for which the store may be behind a peer before the peer is asked.
     */
    private static final long STORE_LAG_TIMEOUT_MILLIS = 300;

    /** The time in milliseconds after a request for a snapshot before another is sent. */
    private static final long SNAPSHOT_INTERVAL_MILLIS = 400;

    /**
     * The instances of a zone up to which each reads the routing table from the store. Beyond, the
     * zone's readers pass it on, since all instances together pay for each change.
     */
    private static final int LARGE_ZONE_INSTANCES = 8;

    /** The event loop. */
    private final NioReactor reactor;

    /** Where this instance is met. */
    private final PeerAddress self;

    /** The number that tells this process from earlier ones. */
    private final long incarnation;

    /** What this instance believes. */
    private final FleetState fleetState;

    /** What instances tell each other. */
    private final PeerObservations observations;

    /** Reads routing tables as they were published. */
    private final TableCodec codec;

    /** The known instances. */
    private final FleetMembership members;

    /** Accepts connections. */
    private final SimpleServer server;

    /** The connections made by this instance. */
    private final FleetConnections links;

    /** The connections made by others. */
    private final Set<FleetConnection> accepted = new HashSet<>();

    /** The time in milliseconds since which a peer knows more. */
    private long behindSinceMillis;

    /** The version and the revision that this instance had at that time. */
    private List<Long> behindState = List.of();

    /** The time in milliseconds of the last request for a snapshot. */
    private long snapshotRequestedMillis;

    /** How this instance learns of endpoints. */
    private StoreContact storeContact = StoreContact.LOST;

    /** Whether this instance takes no more work. */
    private boolean isEnding;

    /**
     * Creates a new channel.
     *
     * @param reactor The event loop.
     * @param self Where this instance is met.
     * @param seeds The addresses at which the first instances may be met.
     * @param knowledge What this instance believes.
     * @param observations What instances tell each other.
     * @param codec Reads routing tables as they were published.
     */
    public FleetChannel(
            NioReactor reactor,
            PeerAddress self,
            List<String> seeds,
            FleetState knowledge,
            PeerObservations observations,
            TableCodec codec) {
        this.reactor = reactor;
        this.self = self;
        this.fleetState = knowledge;
        this.observations = observations;
        this.codec = codec;
        Random random = new Random();
        incarnation = random.nextLong();
        snapshotRequestedMillis = reactor.currentTimeMillis() - SNAPSHOT_INTERVAL_MILLIS;
        members = new FleetMembership(self, seeds, random);
        links = new FleetConnections(reactor, this::handle);
        server =
                SimpleServer.builder(
                                reactor,
                                socket ->
                                        accepted.add(
                                                new FleetConnection(
                                                        socket, this::handle, accepted::remove)))
                        .withListenAddress(Addresses.parse(self.address()))
                        .withSocketSettings(FleetConnections.SOCKET_SETTINGS)
                        .build();
    }

    /**
     * Starts to listen.
     *
     * @throws IOException If the address cannot be bound.
     */
    public void listen() throws IOException {
        server.listen();
    }

    /** Tells peers from now on that this instance takes no more work. */
    public void announceShutdown() {
        isEnding = true;
        sendHeartbeat(reactor.currentTimeMillis());
    }

    /**
     * Decides whether this instance reads the store's list of endpoints itself.
     *
     * @param own How it learns of endpoints now.
     * @return {@code true} if it reads the store itself.
     */
    public boolean shouldReadEndpoints(StoreContact own) {
        storeContact = own;
        long nowMillis = reactor.currentTimeMillis();
        return ReaderSelection.isReader(self.name(), own, members.zoneStoreContacts(nowMillis));
    }

    /**
     * Decides whether this instance reads the routing table from the store.
     *
     * @param readsEndpoints Whether it reads the list of endpoints.
     * @return {@code true} if it reads the routing table itself.
     */
    public boolean shouldReadTable(boolean readsEndpoints) {
        return readsEndpoints || !isZoneLarge();
    }

    /**
     * Returns {@code true} if a few instances read for the whole zone.
     *
     * @return {@code true} if a few instances read for the whole zone.
     */
    private boolean isZoneLarge() {
        return members.reachableZoneAddresses(reactor.currentTimeMillis()).size()
                >= LARGE_ZONE_INSTANCES;
    }

    /** Passes the routing table in force on within a large zone. */
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
        }
    }

    /**
     * Tells the instances of the zone what changed in the store's list of endpoints.
     *
     * @param changes The changes.
     */
    public void broadcastToZone(EndpointChanges changes) {
        long nowMillis = reactor.currentTimeMillis();
        byte[] message = FleetCodec.encode(changes);
        for (String address : members.reachableZoneAddresses(nowMillis)) {
            send(address, message, nowMillis);
        }
    }

    /**
     * Takes other addresses at which the first instances may be met.
     *
     * @param seeds The addresses.
     */
    public void seeds(List<String> seeds) {
        members.seeds(seeds);
    }

    /**
     * Returns the number of known instances beside this one.
     *
     * @return The number of known instances beside this one.
     */
    public int peerCount() {
        return members.size();
    }

    /**
     * Sends a beat.
     *
     * @param nowMillis The present time in milliseconds.
     */
    public void sendHeartbeat(long nowMillis) {
        members.expire(nowMillis);
        observations.loads().setExpectedPeers(members.size());
        List<String> targets = members.nextTargets(storeContact, nowMillis);
        if (targets.isEmpty()) {
            return;
        }
        byte[] message =
                FleetCodec.encode(
                        new Heartbeat(
                                self,
                                incarnation,
                                fleetState.tableVersion(),
                                fleetState.endpointRevision(),
                                isEnding,
                                storeContact,
                                observations.loads().ownCounts(),
                                observations.outcomes().ownOutcomes(nowMillis),
                                fleetState.leaving(),
                                observations.crashes().recentNotices(nowMillis),
                                members.sampleReachablePeers(nowMillis)));
        for (String address : targets) {
            send(address, message, nowMillis);
        }
    }

    /**
     * Sends a message.
     *
     * @param address The address of the instance.
     * @param message The encoded message.
     * @param nowMillis The present time in milliseconds.
     */
    private void send(String address, byte[] message, long nowMillis) {
        links.send(address, message, members.isReachable(address, nowMillis), nowMillis);
    }

    /**
     * Takes a message.
     *
     * @param link The connection.
     * @param message The message.
     */
    private void handle(FleetConnection link, FleetMessage message) {
        long nowMillis = reactor.currentTimeMillis();
        if (message instanceof Heartbeat beat) {
            handle(beat, nowMillis);
        } else if (message instanceof SnapshotRequest request) {
            byte[] table =
                    request.knownTableVersion() < fleetState.tableVersion()
                            ? fleetState.publishedTable()
                            : new byte[0];
            link.send(
                    FleetCodec.encode(
                            new Snapshot(
                                    self.name(),
                                    ByteBuffer.wrap(table),
                                    fleetState.endpointRevision(),
                                    List.copyOf(fleetState.endpoints()))),
                    nowMillis);
        } else if (message instanceof Snapshot snapshot) {
            handle(snapshot, nowMillis);
        } else if (message instanceof EndpointChanges changes) {
            fleetState.applyFromPeer(changes, nowMillis);
        } else if (message instanceof PublishedTable published) {
            handle(published.table(), published.sender());
        }
    }

    /**
     * Takes a beat.
     *
     * @param beat The beat.
     * @param nowMillis The present time in milliseconds.
     */
    private void handle(Heartbeat beat, long nowMillis) {
        if (members.recordHeartbeat(beat, nowMillis)) {
            LOGGER.atInfo()
                    .with(LogFields.PEER, beat.sender().name())
                    .with(LogFields.ADDRESS, beat.sender().address())
                    .with(LogFields.COUNT, members.size())
                    .log("peer_found");
        }
        if (beat.isEnding() && !members.isZoneReachable(beat.sender().zone(), nowMillis)) {
            observations.zoneReachability().removeZone(beat.sender().zone());
        } else {
            observations.zoneReachability().recordContact(beat.sender().zone(), nowMillis);
        }
        observations
                .loads()
                .recordPeerCounts(beat.sender().name(), beat.requestsInFlight(), nowMillis);
        if (beat.sender().zone().equals(self.zone())) {
            observations
                    .outcomes()
                    .recordPeerOutcomes(beat.sender().name(), beat.outcomes(), nowMillis);
        }
        beat.crashes().forEach(crash -> observations.crashes().recordNotice(crash, nowMillis));
        for (String leaving : beat.leaving()) {
            fleetState.leaving(leaving, beat.sender().name(), nowMillis);
        }
        boolean isBehind =
                beat.tableVersion() > fleetState.tableVersion()
                        || beat.endpointRevision() > fleetState.endpointRevision();
        if (!isBehind) {
            return;
        }
        List<Long> state = List.of(fleetState.tableVersion(), fleetState.endpointRevision());
        if (!state.equals(behindState)) {
            behindState = state;
            behindSinceMillis = nowMillis;
        }
        boolean isDue =
                nowMillis - behindSinceMillis >= STORE_LAG_TIMEOUT_MILLIS
                        || fleetState.tableVersion() == 0;
        if (isDue && nowMillis - snapshotRequestedMillis >= SNAPSHOT_INTERVAL_MILLIS) {
            snapshotRequestedMillis = nowMillis;
            send(
                    beat.sender().address(),
                    FleetCodec.encode(new SnapshotRequest(fleetState.tableVersion())),
                    nowMillis);
        }
    }

    /**
     * Takes a snapshot.
     *
     * @param snapshot The snapshot.
     * @param nowMillis The present time in milliseconds.
     */
    private void handle(Snapshot snapshot, long nowMillis) {
        if (snapshot.table().hasRemaining()) {
            handle(snapshot.table(), snapshot.sender());
        }
        fleetState.applyFromPeer(
                snapshot.endpoints(), snapshot.endpointRevision(), snapshot.sender(), nowMillis);
    }

    /**
     * Takes a routing table, and passes it on if it is new.
     *
     * @param text The table as it was published.
     * @param peer The instance that sent it.
     */
    private void handle(ByteBuffer text, String peer) {
        byte[] published = new byte[text.remaining()];
        text.duplicate().get(published);
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
