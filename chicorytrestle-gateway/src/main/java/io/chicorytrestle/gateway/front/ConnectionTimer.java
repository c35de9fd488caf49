package io.chicorytrestle.gateway.front;

import io.activej.reactor.schedule.ScheduledRunnable;
import org.jspecify.annotations.Nullable;

/** The time-out of a caller's connection, of which at most one is armed. */
final class ConnectionTimer {

    /** The server of the connection. */
    private final FrontHttpServer server;

    /** The armed time-out, or null. */
    private @Nullable ScheduledRunnable scheduled;

    /**
     * Creates a time-out that is not armed.
     *
     * @param server The server of the connection.
     */
    ConnectionTimer(FrontHttpServer server) {
        this.server = server;
    }

    /**
     * Arms the time-out, and cancels the one before.
     *
     * @param millis The time-out in milliseconds.
     * @param action Run when the time-out expires.
     */
    void start(long millis, Runnable action) {
        stop();
        scheduled = server.schedule(millis, action);
    }

    /** Cancels the time-out, if armed. */
    void stop() {
        if (scheduled != null && scheduled.isActive()) {
            scheduled.cancel();
        }
        scheduled = null;
    }
}
