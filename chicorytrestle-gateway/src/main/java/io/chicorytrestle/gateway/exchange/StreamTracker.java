package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.placement.ServiceVersions;
import io.chicorytrestle.core.route.RouteHistory;
import io.chicorytrestle.core.route.RoutingTable;
import io.chicorytrestle.core.stream.StreamOrigin;
import io.chicorytrestle.core.stream.StreamOrigins;
import io.chicorytrestle.gateway.fleet.ListingHistory;
import io.chicorytrestle.gateway.fleet.PeerStreams;
import io.chicorytrestle.gateway.operations.GatewayMetrics;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Records which version of which service began each stream that callers may resume, and finds it
 * for those that they resume: in its own records, then in those of other instances, then from the
 * listing of endpoints. It is confined to the event loop's thread.
 */
final class StreamTracker {

    /** The longest time in milliseconds to wait for the answers of other instances. */
    private static final long MAXIMUM_WAIT_MILLIS = 150;

    /** The longest time in milliseconds to wait for the history of the listing. */
    private static final long MAXIMUM_HISTORY_WAIT_MILLIS = 300;

    /** The origins that this instance knows. */
    private final StreamOrigins origins;

    /** The versions of each service, as listed. */
    private final ServiceVersions versions;

    /** Which routes were moved to other services lately. */
    private final RouteHistory routes = new RouteHistory(ServiceVersions.POSSIBLE_MILLIS);

    /** The other instances. */
    private final PeerStreams peers;

    /** What was listed before this instance observed the listing. */
    private final ListingHistory history;

    /** Counts the streams that callers resume, by where their origins are found. */
    private final GatewayMetrics metrics;

    /** Supplies the current time in milliseconds. */
    private final LongSupplier clock;

    /**
     * Creates a tracker.
     *
     * @param origins The origins that this instance knows.
     * @param versions The versions of each service, as listed.
     * @param peers The other instances.
     * @param history What was listed before this instance observed the listing.
     * @param metrics The metrics to which a counter is added.
     * @param clock Supplies the current time in milliseconds.
     */
    StreamTracker(
            StreamOrigins origins,
            ServiceVersions versions,
            PeerStreams peers,
            ListingHistory history,
            GatewayMetrics metrics,
            LongSupplier clock) {
        this.origins = origins;
        this.versions = versions;
        this.peers = peers;
        this.history = history;
        this.metrics = metrics;
        this.clock = clock;
    }

    /**
     * Records a routing table that is in force from now on.
     *
     * @param table The routing table.
     */
    void recordTable(RoutingTable table) {
        routes.record(table, clock.getAsLong());
    }

    /**
     * Records that the first event of a stream is forwarded.
     *
     * @param routed The request, which resumes no stream.
     * @param version The version of the endpoint that wrote the event, or empty if unknown.
     */
    void recordBegun(RoutedRequest routed, String version) {
        if (routed.route().repeatability().allowsResume()) {
            StreamOrigin origin = new StreamOrigin(routed.service(), version);
            origins.record(routed.request().id(), origin, clock.getAsLong());
            peers.announce(routed.request().id(), origin);
        }
    }

    /**
     * Finds the origin of the stream that a request resumes.
     *
     * @param routed The request.
     * @param remainingMillis The time until its deadline in milliseconds.
     * @param receiver Receives the origin, or empty if it cannot be known.
     */
    void find(
            RoutedRequest routed, long remainingMillis, Consumer<Optional<StreamOrigin>> receiver) {
        long deadlineMillis = clock.getAsLong() + remainingMillis;
        Optional<String> id = routed.request().resumedId();
        if (id.isEmpty()) {
            infer(routed, deadlineMillis, receiver);
            return;
        }
        Optional<StreamOrigin> own = origins.find(id.get(), clock.getAsLong());
        if (own.isPresent()) {
            receiver.accept(known(own.get(), "own"));
            return;
        }
        peers.ask(
                id.get(),
                waitMillis(MAXIMUM_WAIT_MILLIS, deadlineMillis),
                answer -> {
                    answer.ifPresent(origin -> origins.record(id.get(), origin, clock.getAsLong()));
                    if (answer.isPresent()) {
                        receiver.accept(known(answer.get(), "peer"));
                    } else {
                        infer(routed, deadlineMillis, receiver);
                    }
                });
    }

    /**
     * Returns how long to wait for an answer.
     *
     * @param longestMillis The longest time in milliseconds.
     * @param deadlineMillis The time in milliseconds at which the wait must be over.
     * @return The time in milliseconds.
     */
    private long waitMillis(long longestMillis, long deadlineMillis) {
        return Math.max(0, Math.min(longestMillis, deadlineMillis - clock.getAsLong()));
    }

    /**
     * Infers the origin of a stream of which no record is left, after the history of the listing
     * was read if that is of use.
     *
     * @param routed The request that resumes it.
     * @param deadlineMillis The time in milliseconds at which the request ends.
     * @param receiver Receives the origin, or empty if it cannot be known.
     */
    private void infer(
            RoutedRequest routed, long deadlineMillis, Consumer<Optional<StreamOrigin>> receiver) {
        if (versions.isHistoryOfUse(clock.getAsLong())) {
            history.read(
                    waitMillis(MAXIMUM_HISTORY_WAIT_MILLIS, deadlineMillis),
                    () -> receiver.accept(infer(routed)));
        } else {
            receiver.accept(infer(routed));
        }
    }

    /**
     * Returns an origin if endpoints of its version can be found.
     *
     * @param origin The recorded origin.
     * @param source Where it was found; counted.
     * @return The origin, or empty if its version is unknown or it is ambiguous.
     */
    private Optional<StreamOrigin> known(StreamOrigin origin, String source) {
        metrics.counter("resumed_streams_total", origin.isKnown() ? source : "unknown").inc();
        return Optional.of(origin).filter(StreamOrigin::isKnown);
    }

    /**
     * Infers the origin of a stream of which no record is left.
     *
     * @param routed The request that resumes it.
     * @return The origin, if its route has led to one service lately, of which one version alone
     *     can have begun the stream.
     */
    private Optional<StreamOrigin> infer(RoutedRequest routed) {
        Optional<StreamOrigin> inferred =
                routes.soleService(routed.route(), clock.getAsLong())
                        .flatMap(
                                service ->
                                        versions.soleVersion(service, clock.getAsLong())
                                                .map(
                                                        version ->
                                                                new StreamOrigin(
                                                                        service, version)));
        metrics.counter("resumed_streams_total", inferred.isPresent() ? "listing" : "unknown")
                .inc();
        return inferred;
    }
}
