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
 * Asks other entry instances after a start or a pause which table they have, so that this instance
 * does not serve under an older one. It is confined to one thread at a time.
 */
final class MinimumVersionResolver {

    /** The neighbours that are asked. */
    private static final int QUERIED_NEIGHBOURS = 3;

    /** The readers of other zones that are asked. */
    private static final int QUERIED_REMOTE_READERS = 2;

    /** The milliseconds that an instance has for its answer. */
    private static final long REPLY_TIMEOUT_MILLIS = 1_000;

    /**
     * The milliseconds to wait for other instances to be known, and for the floor to be reached.
     */
    private static final long ROUND_TIMEOUT_MILLIS = 3_000;

    /** Receives the floor. */
    private final Blackboard blackboard;

    /** Sends questions. */
    private final PeerNetwork network;

    /** The questions in flight. */
    private List<CompletableFuture<PeerMessage>> pendingQueries = List.of();

    /** The pauses that were seen. */
    private long lastPauseCount;

    /** The time at which this round began in milliseconds, or zero before the first. */
    private long roundStartMillis;

    /** The time at which the floor became known in milliseconds. */
    private long resolvedMillis;

    /**
     * Creates a new keeper.
     *
     * @param blackboard Receives the floor.
     * @param network Sends questions.
     */
    MinimumVersionResolver(Blackboard blackboard, PeerNetwork network) {
        this.blackboard = blackboard;
        this.network = network;
    }

    /**
     * Asks, or takes answers.
     *
     * @param inForce The table in force.
     * @param peers The instances of this zone and the readers of others.
     * @param random Chooses instances.
     * @param nowMillis The present time in milliseconds.
     */
    void step(Table inForce, ZonePeers peers, RandomGenerator random, long nowMillis) {
        long pauses = blackboard.read(Topics.HEARTBEAT).pauseCount();
        if (pauses != lastPauseCount || roundStartMillis == 0) {
            lastPauseCount = pauses;
            roundStartMillis = nowMillis;
            pendingQueries = List.of();
            blackboard.write(Topics.MINIMUM_TABLE_VERSION, MinimumTableVersion.UNKNOWN);
        }
        MinimumTableVersion floor = blackboard.read(Topics.MINIMUM_TABLE_VERSION);
        if (floor.state() == MinimumTableVersion.State.QUERYING) {
            queryPeers(peers, random, nowMillis);
        } else if (!floor.allows(inForce) && nowMillis > resolvedMillis + ROUND_TIMEOUT_MILLIS) {
            roundStartMillis = 0;
        }
    }

    /**
     * Asks instances, or takes their answers once all came or failed.
     *
     * @param peers The instances of this zone and the readers of others.
     * @param random Chooses instances.
     * @param nowMillis The present time in milliseconds.
     */
    private void queryPeers(ZonePeers peers, RandomGenerator random, long nowMillis) {
        if (pendingQueries.isEmpty()) {
            List<String> asked =
                    new ArrayList<>(
                            ZonePeers.sample(peers.neighbours(), QUERIED_NEIGHBOURS, random));
            asked.addAll(ZonePeers.sample(peers.remoteReaders(), QUERIED_REMOTE_READERS, random));
            pendingQueries =
                    asked.stream()
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
     * Returns the version of an answer.
     *
     * @param question The question, which is done.
     * @return The version, or nothing if there is no answer.
     */
    private static Stream<Long> versionOf(CompletableFuture<PeerMessage> question) {
        return Optional.of(question)
                .filter(done -> !done.isCompletedExceptionally())
                .map(CompletableFuture::join)
                .filter(TableMessages.Notice.class::isInstance)
                .map(answer -> ((TableMessages.Notice) answer).version())
                .stream();
    }
}
