package io.chicorytrestle.daemon;

import io.activej.eventloop.Eventloop;
import io.chicorytrestle.daemon.loop.MonotonicClock;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;

/** Waits until no request is in flight, or until a deadline. */
final class DrainWaiter {

    /** The period of checking the number of requests in flight in milliseconds. */
    private static final long POLL_PERIOD_MILLIS = 20;

    /** The event loop of the checks. */
    private final Eventloop loop;

    /** Supplies the current time. */
    private final MonotonicClock clock;

    /** The time at which the wait ends in any case, in milliseconds. */
    private final long deadlineMillis;

    /** Supplies the number of requests in flight. */
    private final IntSupplier inFlight;

    /** Completed at the end of the wait with whether no request is in flight. */
    private final CompletableFuture<Boolean> idleFuture = new CompletableFuture<>();

    /**
     * Creates a waiter. The checks start with {@link #awaitIdle}.
     *
     * @param loop The event loop of the checks.
     * @param clock Supplies the current time.
     * @param deadlineMillis The time at which the wait ends in any case, in milliseconds.
     * @param inFlight Supplies the number of requests in flight.
     */
    DrainWaiter(Eventloop loop, MonotonicClock clock, long deadlineMillis, IntSupplier inFlight) {
        this.loop = loop;
        this.clock = clock;
        this.deadlineMillis = deadlineMillis;
        this.inFlight = inFlight;
    }

    /**
     * Starts to wait.
     *
     * @return {@code true} once no request is in flight, {@code false} once the deadline has
     *     passed.
     */
    CompletableFuture<Boolean> awaitIdle() {
        loop.execute(this::poll);
        return idleFuture;
    }

    /** Checks whether the wait is over and schedules the next check if it isn't. */
    private void poll() {
        if (inFlight.getAsInt() == 0) {
            idleFuture.complete(true);
        } else if (clock.nowMillis() >= deadlineMillis) {
            idleFuture.complete(false);
        } else {
            loop.delayBackground(POLL_PERIOD_MILLIS, this::poll);
        }
    }
}
