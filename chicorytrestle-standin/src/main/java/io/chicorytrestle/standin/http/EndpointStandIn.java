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

/**
 * An endpoint that can crash, restart, pause and refuse connections on one port. It is confined to
 * the event loop.
 */
abstract class EndpointStandIn {

    /** The event loop. */
    final NioReactor reactor;

    /** The endpoint's name, address, kind and capacity. */
    final Scenario.EndpointSpecification specification;

    /** The IP address to bind. */
    private final String host;

    /** Called after each change of this endpoint's entry in the instance list. */
    private final Runnable onListingChange;

    /** The listener, which keeps its port over restarts. */
    private final PortListener listener;

    /** The incarnation, which grows by one after each crash. */
    private long incarnation = 1;

    /** Whether the simulated process is running. */
    private boolean running;

    /** Whether the endpoint refuses new work because it is leaving. */
    private boolean leaving;

    /** Completes when a pause ends, or {@code null} if there is none. */
    private @Nullable SettablePromise<Void> pauseEnd;

    /** The faults to inject. */
    private Faults faults = Faults.NONE;

    /**
     * Creates a new endpoint, which is not started yet.
     *
     * @param reactor The event loop.
     * @param host The IP address to bind.
     * @param specification The endpoint's name, address, kind and capacity.
     * @param onListingChange Called after each change of this endpoint's entry in the instance
     *     list.
     */
    EndpointStandIn(
            NioReactor reactor,
            String host,
            Scenario.EndpointSpecification specification,
            Runnable onListingChange) {
        this.reactor = reactor;
        this.host = host;
        this.specification = specification;
        this.onListingChange = onListingChange;
        listener =
                new PortListener(
                        reactor,
                        request -> serveUnlessFaulty(request),
                        new InetSocketAddress(host, specification.port()));
    }

    /**
     * Returns the HTTP handler.
     *
     * @return The servlet.
     */
    abstract AsyncServlet servlet();

    /** Discards the state that a process loses when it crashes. */
    abstract void resetState();

    /** Called in the event loop after a pause has ended. */
    abstract void onResumed();

    /**
     * Reports the endpoint's state and counters.
     *
     * @return A value to send as JSON.
     */
    abstract Object report();

    /**
     * Starts the endpoint, unless it is running. It no longer counts as leaving.
     *
     * @throws IOException If the port cannot be bound.
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
     * Starts the endpoint like {@link #start()}, for use in scheduled tasks, which may not throw
     * checked exceptions.
     *
     * @throws UncheckedIOException If the port cannot be bound.
     */
    final void startUnchecked() {
        try {
            start();
        } catch (IOException exception) {
            throw new UncheckedIOException("Cannot restart endpoint: " + name(), exception);
        }
    }

    /**
     * Stops the endpoint at once, loses its state and raises the incarnation for the next start. A
     * pause ends, too.
     */
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

    /** Makes the endpoint refuse new work and appear as {@code LEAVING} on the instance list. */
    final void startLeaving() {
        leaving = true;
        onListingChange.run();
    }

    /** Pauses the endpoint: connections are accepted, but requests wait until the pause ends. */
    final void pause() {
        if (pauseEnd == null) {
            pauseEnd = new SettablePromise<>();
        }
    }

    /** Ends the pause, if there is one, and handles the requests that waited. */
    final void resume() {
        SettablePromise<Void> endedPause = pauseEnd;
        if (endedPause != null) {
            pauseEnd = null;
            endedPause.set(null);
            onResumed();
        }
    }

    /** Refuses connections, although the endpoint keeps running and keeps its state. */
    final void refuseConnections() {
        listener.close();
    }

    /**
     * Accepts connections again, unless the endpoint has crashed.
     *
     * @throws IOException If the port cannot be bound.
     */
    final void acceptConnections() throws IOException {
        if (running) {
            listener.open();
        }
    }

    /**
     * Replaces all fault settings.
     *
     * @param faults The faults to inject from now on.
     */
    final void faults(Faults faults) {
        this.faults = faults;
    }

    /**
     * Returns the fault settings.
     *
     * @return The faults to inject.
     */
    final Faults faults() {
        return faults;
    }

    /**
     * Returns the endpoint's name.
     *
     * @return The name, unique among the stand-ins.
     */
    final String name() {
        return specification.name();
    }

    /**
     * Returns the incarnation.
     *
     * @return The incarnation, from one, which grows by one after each crash.
     */
    final long incarnation() {
        return incarnation;
    }

    /**
     * Returns {@code true} if the endpoint is running, paused or not.
     *
     * @return {@code true} between a start and the next crash.
     */
    final boolean isRunning() {
        return running;
    }

    /**
     * Returns {@code true} if the endpoint refuses new work.
     *
     * @return {@code true} if the endpoint is leaving.
     */
    final boolean isLeaving() {
        return leaving;
    }

    /**
     * Returns {@code true} if the endpoint is paused.
     *
     * @return {@code true} if the endpoint is paused.
     */
    final boolean isPaused() {
        return pauseEnd != null;
    }

    /**
     * Builds the endpoint's entry in the instance list.
     *
     * @return The entry, with the port that is actually bound.
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
     * Handles a request after the end of a pause and after the delay that the faults ask for. The
     * connection breaks if the endpoint is not running.
     *
     * @param request The request.
     * @return The response.
     * @throws Exception If the request is malformed.
     */
    private Promise<HttpResponse> serveUnlessFaulty(HttpRequest request) throws Exception {
        SettablePromise<Void> activePause = pauseEnd;
        if (activePause != null) {
            return activePause.then(ignored -> serveUnlessFaulty(request));
        }
        if (!running) {
            return JsonResponses.brokenConnection();
        }
        if (faults.delayMillis() == 0) {
            return servlet().serve(request);
        }
        SettablePromise<Void> delayElapsed = new SettablePromise<>();
        reactor.delayBackground(faults.delayMillis(), () -> delayElapsed.set(null));
        return delayElapsed.then(ignored -> servlet().serve(request));
    }
}
