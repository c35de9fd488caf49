package io.chicorytrestle.standin.http;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/** One endpoint with its runs, its port and its faults. It is confined to the event loop. */
abstract class EndpointStandIn {

    /** The event loop. */
    final NioReactor reactor;

    /** Describes the endpoint. */
    final Scenario.EndpointSpecification specification;

    /** The IP number to listen on. */
    private final String host;

    /** Called when what the instance list shows has changed. */
    private final Runnable onListingChange;

    /** The port. */
    private final PortListener listener;

    /** The number of the run. */
    private long incarnation = 1;

    /** Whether the endpoint runs. */
    private boolean running;

    /** Whether the endpoint is leaving. */
    private boolean leaving;

    /** Completes when a pause ends, or {@code null} if there is none. */
    private @Nullable SettablePromise<Void> pause;

    /** How the endpoint misbehaves. */
    private Faults faults = Faults.NONE;

    /**
     * Creates a new endpoint, which does not run yet.
     *
     * @param reactor The event loop.
     * @param host The IP number to listen on.
     * @param specification Describes the endpoint.
     * @param onChange Called when what the instance list shows has changed.
     */
    EndpointStandIn(
            NioReactor reactor,
            String host,
            Scenario.EndpointSpecification specification,
            Runnable onChange) {
        this.reactor = reactor;
        this.host = host;
        this.specification = specification;
        this.onListingChange = onChange;
        listener =
                new PortListener(
                        reactor,
                        request -> serveUnlessFaulty(request),
                        new InetSocketAddress(host, specification.port()));
    }

    /**
     * Returns what answers the requests.
     *
     * @return The servlet.
     */
    abstract AsyncServlet servlet();

    /** Forgets everything, as at the end of a process. */
    abstract void resetState();

    /** Learns that a pause is over. */
    abstract void onResumed();

    /**
     * Reports what the endpoint did.
     *
     * @return A value to send as JSON.
     */
    abstract Object report();

    /**
     * Starts a run, unless one is there.
     *
     * @throws IOException If the port cannot be had.
     */
    final void start() throws IOException {
        if (!running) {
            running = true;
            leaving = false;
            listener.open();
            onListingChange.run();
        }
    }

    /**
     * Starts a run, unless one is there, as part of an event.
     *
     * @throws UncheckedIOException If the port cannot be had.
     */
    final void startUnchecked() {
        try {
            start();
        } catch (IOException exception) {
            throw new UncheckedIOException("Cannot restart endpoint: " + name(), exception);
        }
    }

    /** Ends the run at once; the next one has a larger incarnation. */
    final void crash() {
        if (running) {
            running = false;
            incarnation++;
            listener.close();
            resetState();
            resume();
            onListingChange.run();
        }
    }

    /** Refuses new work and shows so on the instance list. */
    final void startLeaving() {
        leaving = true;
        onListingChange.run();
    }

    /** Stands still: connections are accepted but nothing is answered. */
    final void pause() {
        if (pause == null) {
            pause = new SettablePromise<>();
        }
    }

    /** Ends a pause; what waited is done late. */
    final void resume() {
        SettablePromise<Void> ended = pause;
        if (ended != null) {
            pause = null;
            ended.set(null);
            onResumed();
        }
    }

    /** Refuses connections, though the run goes on. */
    final void refuseConnections() {
        listener.close();
    }

    /**
     * Accepts connections again.
     *
     * @throws IOException If the port cannot be had.
     */
    final void acceptConnections() throws IOException {
        if (running) {
            listener.open();
        }
    }

    /**
     * Replaces the faults.
     *
     * @param faults How the endpoint misbehaves from now on.
     */
    final void faults(Faults faults) {
        this.faults = faults;
    }

    /**
     * Returns the faults.
     *
     * @return How the endpoint misbehaves.
     */
    final Faults faults() {
        return faults;
    }

    /**
     * Returns the name.
     *
     * @return The name.
     */
    final String name() {
        return specification.name();
    }

    /**
     * Returns the number of the run.
     *
     * @return The number of the run.
     */
    final long incarnation() {
        return incarnation;
    }

    /**
     * Returns {@code true} if the endpoint runs.
     *
     * @return {@code true} if the endpoint runs.
     */
    final boolean isRunning() {
        return running;
    }

    /**
     * Returns {@code true} if the endpoint is leaving.
     *
     * @return {@code true} if the endpoint is leaving.
     */
    final boolean isLeaving() {
        return leaving;
    }

    /**
     * Returns {@code true} if the endpoint stands still.
     *
     * @return {@code true} if the endpoint stands still.
     */
    final boolean isPaused() {
        return pause != null;
    }

    /**
     * Describes the endpoint as the instance list shows it.
     *
     * @return The line of the list.
     */
    final InstanceList.ListedEndpoint toListedEndpoint() {
        return new InstanceList.ListedEndpoint(
                name(),
                incarnation,
                specification.kind(),
                specification.pool(),
                specification.zone(),
                host,
                listener.port(),
                specification.capacity(),
                leaving ? "LEAVING" : "LIVE");
    }

    /**
     * Answers a request after the end of a pause and after the delay.
     *
     * @param request The request.
     * @return The answer.
     * @throws Exception If the request is malformed.
     */
    private Promise<HttpResponse> serveUnlessFaulty(HttpRequest request) throws Exception {
        SettablePromise<Void> present = pause;
        if (present != null) {
            return present.then(ignored -> serveUnlessFaulty(request));
        }
        if (!running) {
            return JsonResponses.brokenConnection();
        }
        if (faults.delayMillis() == 0) {
            return servlet().serve(request);
        }
        SettablePromise<Void> passed = new SettablePromise<>();
        reactor.delayBackground(faults.delayMillis(), () -> passed.set(null));
        return passed.then(ignored -> servlet().serve(request));
    }
}
