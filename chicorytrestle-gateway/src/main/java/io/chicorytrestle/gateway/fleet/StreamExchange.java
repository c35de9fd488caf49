package io.chicorytrestle.gateway.fleet;

import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.placement.BoundedIdentifier;
import io.chicorytrestle.core.stream.StreamKeepers;
import io.chicorytrestle.core.stream.StreamOrigin;
import io.chicorytrestle.core.stream.StreamOrigins;
import io.chicorytrestle.gateway.link.EventLoopLag;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Tells other instances the origins of the streams that begin here, so that they outlive this one,
 * and asks them for those of other streams. In a large fleet a few instances keep each origin. It
 * is confined to the event loop's thread.
 */
final class StreamExchange implements PeerStreams {

    /** The shortest time in milliseconds between two notices. */
    private static final long NOTICE_INTERVAL_MILLIS = 20;

    /** The number of streams after which a notice is sent sooner, so that its size is bounded. */
    private static final int MAXIMUM_NOTICE_STREAMS = 256;

    /** The event loop. */
    private final NioReactor reactor;

    /** The known instances. */
    private final FleetMembership members;

    /** The origins that this instance knows. */
    private final StreamOrigins origins;

    /** Sends messages to other instances. */
    private final Sender sender;

    /** The names of the instances that understand these messages. */
    private final Set<String> keepers = new HashSet<>();

    /** The identifiers of streams of which instances are to be told, by address and origin. */
    private final Map<String, Map<StreamOrigin, List<String>>> unsent = new HashMap<>();

    /** The number of those streams. */
    private int unsentStreams;

    /** The time in milliseconds of the last notice, far in the past before the first one. */
    private long noticeMillis = Long.MIN_VALUE / 2;

    /** The queries that are not answered yet, by number. */
    private final Map<Long, PendingQuery> queries = new HashMap<>();

    /** The number of the last query. */
    private long lastNumber;

    /**
     * Creates an exchange without messages.
     *
     * @param reactor The event loop.
     * @param members The known instances.
     * @param origins The origins that this instance knows.
     * @param sender Sends messages to other instances.
     */
    StreamExchange(
            NioReactor reactor, FleetMembership members, StreamOrigins origins, Sender sender) {
        this.reactor = reactor;
        this.members = members;
        this.origins = origins;
        this.sender = sender;
    }

    /**
     * Records whether another instance understands these messages.
     *
     * @param heartbeat Its heartbeat, which the known instances have recorded.
     */
    void record(Heartbeat heartbeat) {
        if (heartbeat.isKeepingStreams()) {
            keepers.add(heartbeat.sender().name());
        } else {
            keepers.remove(heartbeat.sender().name());
        }
        if (keepers.size() > members.size()) {
            keepers.retainAll(members.names());
        }
    }

    @Override
    public void announce(String id, StreamOrigin origin) {
        String key = BoundedIdentifier.of(id);
        for (String address : keepersOf(key, StreamKeepers.TOLD)) {
            unsent.computeIfAbsent(address, ignored -> new HashMap<>())
                    .computeIfAbsent(origin, ignored -> new ArrayList<>())
                    .add(key);
        }
        if (unsent.isEmpty()) {
            return;
        }
        unsentStreams++;
        long waitMillis = noticeMillis + NOTICE_INTERVAL_MILLIS - reactor.currentTimeMillis();
        if (waitMillis <= 0 || unsentStreams >= MAXIMUM_NOTICE_STREAMS) {
            sendNotices();
        } else if (unsentStreams == 1) {
            reactor.delayBackground(waitMillis, this::sendNotices);
        }
    }

    /** Tells other instances the origins of the streams that have begun since the last notice. */
    private void sendNotices() {
        noticeMillis = reactor.currentTimeMillis();
        unsent.forEach(
                (address, ids) ->
                        sender.send(
                                address, FleetCodec.encode(new StreamNotice(ids)), noticeMillis));
        unsent.clear();
        unsentStreams = 0;
    }

    @Override
    public void ask(String id, long timeoutMillis, Consumer<Optional<StreamOrigin>> receiver) {
        String key = BoundedIdentifier.of(id);
        List<String> addresses = keepersOf(key, StreamKeepers.ASKED);
        if (addresses.isEmpty() || timeoutMillis <= 0) {
            receiver.accept(Optional.empty());
            return;
        }
        long number = ++lastNumber;
        queries.put(number, new PendingQuery(addresses.size(), receiver));
        byte[] query = FleetCodec.encode(new StreamQuery(number, key));
        long nowMillis = reactor.currentTimeMillis();
        addresses.forEach(address -> sender.send(address, query, nowMillis));
        EventLoopLag.delayUntilInputIsHandled(
                reactor, timeoutMillis, () -> finish(number, Optional.empty()));
    }

    /**
     * Returns the instances that keep the origin of a stream.
     *
     * @param key The bounded identifier of the request that began it.
     * @param maximumCount Their number in a large fleet; in a smaller one all keep it.
     * @return The addresses of those that are reachable.
     */
    private List<String> keepersOf(String key, int maximumCount) {
        Map<String, String> addresses = new HashMap<>();
        Map<String, String> zones = new HashMap<>();
        for (PeerAddress peer : members.reachablePeers(reactor.currentTimeMillis())) {
            if (keepers.contains(peer.name())) {
                addresses.put(peer.name(), peer.address());
                zones.put(peer.name(), peer.zone());
            }
        }
        return members.isBroadcasting()
                ? List.copyOf(addresses.values())
                : StreamKeepers.select(key, zones, maximumCount).stream()
                        .map(addresses::get)
                        .toList();
    }

    /**
     * Records the origins that another instance told.
     *
     * @param notice The notice.
     * @param nowMillis The current time in milliseconds.
     */
    void record(StreamNotice notice, long nowMillis) {
        notice.ids()
                .forEach((origin, ids) -> ids.forEach(id -> origins.record(id, origin, nowMillis)));
    }

    /**
     * Answers a query.
     *
     * @param query The query.
     * @param nowMillis The current time in milliseconds.
     * @return The reply.
     */
    StreamReply reply(StreamQuery query, long nowMillis) {
        return new StreamReply(query.number(), origins.find(query.id(), nowMillis));
    }

    /**
     * Handles the reply to a query. The first instance that knows the origin decides, or the last
     * one that does not.
     *
     * @param reply The reply.
     */
    void handle(StreamReply reply) {
        PendingQuery query = queries.get(reply.number());
        if (query != null && (reply.origin().isPresent() || query.countDown())) {
            finish(reply.number(), reply.origin());
        }
    }

    /**
     * Ends a query, unless it has ended.
     *
     * @param number The number of the query.
     * @param origin The origin of the stream, or empty if no instance knew it in time.
     */
    private void finish(long number, Optional<StreamOrigin> origin) {
        PendingQuery query = queries.remove(number);
        if (query != null) {
            query.receiver.accept(origin);
        }
    }

    /** Sends messages to other instances. */
    @FunctionalInterface
    interface Sender {

        /**
         * Sends a message.
         *
         * @param address The address of the instance.
         * @param message The encoded message.
         * @param nowMillis The current time in milliseconds.
         */
        void send(String address, byte[] message, long nowMillis);
    }

    /** A query that is not answered yet. */
    private static final class PendingQuery {

        /** Receives the origin. */
        private final Consumer<Optional<StreamOrigin>> receiver;

        /** The number of instances that have not answered. */
        private int unanswered;

        /**
         * Creates a query.
         *
         * @param unanswered The number of instances that are asked.
         * @param receiver Receives the origin.
         */
        private PendingQuery(int unanswered, Consumer<Optional<StreamOrigin>> receiver) {
            this.unanswered = unanswered;
            this.receiver = receiver;
        }

        /**
         * Records the answer of an instance.
         *
         * @return {@code true} if it is the last one.
         */
        private boolean countDown() {
            unanswered--;
            return unanswered <= 0;
        }
    }
}
