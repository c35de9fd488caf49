package io.chicorytrestle.standin.http;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.identity.EndpointKind;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Stands in for the platform's list of instances, which lags. */
final class InstanceList {

    /** The event loop. */
    private final NioReactor reactor;

    /** The states of the list that a reader may still see, oldest first. */
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();

    /** The lag in milliseconds. */
    private long lagMillis;

    /**
     * Creates a new, empty list.
     *
     * @param reactor The event loop.
     * @param lagMillis The lag in milliseconds.
     */
    InstanceList(NioReactor reactor, long lagMillis) {
        this.reactor = reactor;
        this.lagMillis = lagMillis;
    }

    /**
     * Returns what answers the readers.
     *
     * @return The servlet.
     */
    AsyncServlet servlet() {
        return RoutingServlet.builder(reactor)
                .with(HttpMethod.GET, "/v1/instances", this::handleRead)
                .build();
    }

    /**
     * Changes the lag.
     *
     * @param lagMillis The lag in milliseconds.
     */
    void setLag(long lagMillis) {
        this.lagMillis = lagMillis;
    }

    /**
     * Takes note of a change, which readers see after the lag.
     *
     * @param content The list from now on.
     */
    void publish(Content content) {
        snapshots.addLast(new Snapshot(reactor.currentTimeMillis(), content));
    }

    /**
     * Answers a read.
     *
     * @param request The request.
     * @return The answer.
     */
    private Promise<HttpResponse> handleRead(HttpRequest request) {
        long untilMillis = reactor.currentTimeMillis() - lagMillis;
        Snapshot seen = snapshots.removeFirst();
        while (!snapshots.isEmpty() && snapshots.getFirst().atMillis <= untilMillis) {
            seen = snapshots.removeFirst();
        }
        snapshots.addFirst(seen);
        return JsonResponses.ok(seen.content);
    }

    /**
     * Holds a state of the list.
     *
     * @param atMillis Since when it is true, in milliseconds.
     * @param content The list.
     */
    private record Snapshot(long atMillis, Content content) {}

    /**
     * Holds the list as it is sent.
     *
     * @param entryInstances The entry instances.
     * @param endpoints The endpoints.
     */
    record Content(List<Scenario.EntryInstance> entryInstances, List<ListedEndpoint> endpoints) {}

    /**
     * Describes an endpoint on the list.
     *
     * @param name The name.
     * @param incarnation The number of the run.
     * @param kind The kind.
     * @param pool The pool.
     * @param zone The availability zone.
     * @param host The IP number.
     * @param port The port.
     * @param capacity The requests that run at the same time.
     * @param state Either {@code LIVE} or {@code LEAVING}.
     */
    record ListedEndpoint(
            String name,
            long incarnation,
            EndpointKind kind,
            String pool,
            String zone,
            String host,
            int port,
            int capacity,
            String state) {}
}
