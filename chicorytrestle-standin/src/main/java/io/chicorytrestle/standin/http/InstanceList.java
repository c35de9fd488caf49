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

/**
 * Stands in for the platform's list of entry instances and endpoints, whose changes become visible
 * after a lag.
 */
final class InstanceList {

    /** The event loop. */
    private final NioReactor reactor;

    /** The states of the list that a read may still return, oldest first. */
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();

    /** The time until a change becomes visible, in milliseconds. */
    private long lagMillis;

    /**
     * Creates a new list. It must be published once before the first read.
     *
     * @param reactor The event loop.
     * @param lagMillis The time until a change becomes visible, in milliseconds.
     */
    InstanceList(NioReactor reactor, long lagMillis) {
        this.reactor = reactor;
        this.lagMillis = lagMillis;
    }

    /**
     * Returns the HTTP handler of this service.
     *
     * @return The servlet.
     */
    AsyncServlet servlet() {
        return RoutingServlet.builder(reactor)
                .with(HttpMethod.GET, "/v1/instances", this::handleRead)
                .build();
    }

    /**
     * Changes the lag, for changes that are not visible yet, too.
     *
     * @param lagMillis The time until a change becomes visible, in milliseconds.
     */
    void setLag(long lagMillis) {
        this.lagMillis = lagMillis;
    }

    /**
     * Records a new state of the list, which reads return after the lag.
     *
     * @param content The complete new list.
     */
    void publish(Content content) {
        snapshots.addLast(new Snapshot(reactor.currentTimeMillis(), content));
    }

    /**
     * Handles a read and drops the states that are older than the one returned.
     *
     * @param request The request.
     * @return The response.
     */
    private Promise<HttpResponse> handleRead(HttpRequest request) {
        long untilMillis = reactor.currentTimeMillis() - lagMillis;
        Snapshot visible = snapshots.removeFirst();
        while (!snapshots.isEmpty() && snapshots.getFirst().atMillis <= untilMillis) {
            visible = snapshots.removeFirst();
        }
        snapshots.addFirst(visible);
        return JsonResponses.ok(visible.content);
    }

    /**
     * A state of the list and its time.
     *
     * @param atMillis The time of the change in milliseconds.
     * @param content The complete list.
     */
    private record Snapshot(long atMillis, Content content) {}

    /**
     * The list in its JSON form.
     *
     * @param entryInstances The entry instances, including those that are leaving.
     * @param endpoints The running endpoints, including those that are leaving.
     */
    record Content(List<Scenario.EntryInstance> entryInstances, List<ListedEndpoint> endpoints) {}

    /**
     * An endpoint's entry in the list.
     *
     * @param name The name.
     * @param incarnation The incarnation, which grows by one after each crash.
     * @param kind The kind.
     * @param pool The pool.
     * @param zone The availability zone.
     * @param host The IP address.
     * @param port The port.
     * @param capacity The maximum number of concurrent requests.
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
