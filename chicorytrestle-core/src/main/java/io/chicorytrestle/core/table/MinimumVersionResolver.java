package io.chicorytrestle.core.table;

import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.membership.ZonePeers;
import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.peer.PeerNetwork;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * Queries other entry instances for their table version after a start or a pause, so that this
 * instance does not serve under an older table. This class is not thread-safe.
 */
final class MinimumVersionResolver {

    /** The number of neighbours to query. */
    private static final int QUERIED_NEIGHBOURS = 3;

    /** The number of readers of other zones to query. */
    private static final int QUERIED_REMOTE_READERS = 2;

    /** The time-out of a query in milliseconds. */
    private static final long REPLY_TIMEOUT_MILLIS = 1_000;

    /**
     * The time after which a round without any reply ends with no minimum, and after which a new
     * round starts if the current table has not reached the minimum, in milliseconds.
     */
    private static final long ROUND_TIMEOUT_MILLIS = 3_000;

    /** Receives the minimum version. */
    private final Blackboard blackboard;

    /** Sends queries. */
    private final PeerNetwork network;

    /** The queries in flight, empty if none was sent in this round. */
    private List<CompletableFuture<PeerMessage>> pendingQueries = List.of();

    /** The process's pause count at the start of this round. */
    private long lastPauseCount;

    /** The start of this round in milliseconds, or zero if the next step is to start one. */
    private long roundStartMillis;

    /** The time at which the minimum version was resolved, in milliseconds. */
    private long resolvedMillis;

    /**
     * Creates a new resolver.
     *
     * @param blackboard Receives the minimum version.
     * @param network Sends queries.
     */
    MinimumVersionResolver(Blackboard blackboard, PeerNetwork network) {
        this.blackboard = blackboard;
        this.network = network;
    }

    /**
     * Starts a round after a start, a pause or a time-out, and advances the present round.
     *
     * @param current The current table.
     * @param peers The instances of this zone and the readers of others.
     * @param random Samples the instances to query.
     * @param nowMillis The present time in milliseconds.
     */
    void step(Table current, ZonePeers peers, RandomGenerator random, long nowMillis) {
        long pauses = blackboard.read(Topics.HEARTBEAT).pauseCount();
        if (pauses != lastPauseCount || roundStartMillis == 0) {
            lastPauseCount = pauses;
            roundStartMillis = nowMillis;
            pendingQueries = List.of();
            blackboard.write(Topics.MINIMUM_TABLE_VERSION, MinimumTableVersion.UNKNOWN);
        }
        MinimumTableVersion minimum = blackboard.read(Topics.MINIMUM_TABLE_VERSION);
        if (minimum.state() == MinimumTableVersion.State.QUERYING) {
            queryPeers(peers, random, nowMillis);
        } else if (!minimum.allows(current) && nowMillis > resolvedMillis + ROUND_TIMEOUT_MILLIS) {
            roundStartMillis = 0;
        }
    }

    /**
     * Sends the queries of a round, or evaluates them once all have completed.
     *
     * @param peers The instances of this zone and the readers of others.
     * @param random Samples the instances to query.
     * @param nowMillis The present time in milliseconds.
     */
    private void queryPeers(ZonePeers peers, RandomGenerator random, long nowMillis) {
        if (pendingQueries.isEmpty()) {
            List<String> queried =
                    new ArrayList<>(
                            ZonePeers.sample(peers.neighbours(), QUERIED_NEIGHBOURS, random));
            queried.addAll(ZonePeers.sample(peers.remoteReaders(), QUERIED_REMOTE_READERS, random));
            pendingQueries =
                    queried.stream()
                            .map(
                                    name ->
                                            network.request(
                                                    name,
                                                    new TableMessages.VersionQuery(),
                                                    REPLY_TIMEOUT_MILLIS))
                            .toList();
        }
        if (!pendingQueries.stream().allMatch(CompletableFuture::isDone)) {
            return;
        }
        List<Long> versions =
                pendingQueries.stream().flatMap(MinimumVersionResolver::versionOf).toList();
        pendingQueries = List.of();
        if (!versions.isEmpty() || nowMillis > roundStartMillis + ROUND_TIMEOUT_MILLIS) {
            long highest = versions.stream().mapToLong(Long::longValue).max().orElse(0);
            resolvedMillis = nowMillis;
            blackboard.write(
                    Topics.MINIMUM_TABLE_VERSION,
                    new MinimumTableVersion(MinimumTableVersion.State.KNOWN, highest));
        }
    }

    /**
     * Returns the version in the reply to a query.
     *
     * @param query The query, which must be completed.
     * @return The version, or an empty stream if the query failed.
     */
    private static Stream<Long> versionOf(CompletableFuture<PeerMessage> query) {
        return Optional.of(query)
                .filter(done -> !done.isCompletedExceptionally())
                .map(CompletableFuture::join)
                .filter(TableMessages.Notice.class::isInstance)
                .map(reply -> ((TableMessages.Notice) reply).version())
                .stream();
    }
}
