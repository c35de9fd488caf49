package io.chicorytrestle.daemon;

import io.activej.eventloop.Eventloop;
import io.chicorytrestle.daemon.loop.MonotonicClock;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;

/** Waits until nothing is in flight any more, or until a deadline. */
final class DrainWaiter {

    /** The milliseconds between two looks. */
    private static final long POLL_PERIOD_MILLIS = 20;

    /** The event loop. */
    private final Eventloop loop;

    /** Tells the present time. */
    private final MonotonicClock clock;

    /** The time at which the wait is given up, in milliseconds. */
    private final long deadlineMillis;

    /** Counts what is in flight. */
    private final IntSupplier inFlight;

    /** Completed at the end of the wait. */
    private final CompletableFuture<Boolean> idleFuture = new CompletableFuture<>();

    /**
     * Creates a new wait.
     *
     * @param loop The event loop.
     * @param clock Tells the present time.
     * @param deadlineMillis The time at which the wait is given up, in milliseconds.
     * @param inFlight Counts what is in flight.
     */
    DrainWaiter(Eventloop loop, MonotonicClock clock, long deadlineMillis, IntSupplier inFlight) {
        this.loop = loop;
        this.clock = clock;
        this.deadlineMillis = deadlineMillis;
        this.inFlight = inFlight;
    }

    /**
     * Waits.
     *
     * @return {@code true} if nothing is in flight, {@code false} if the deadline passed.
     */
    CompletableFuture<Boolean> awaitIdle() {
        loop.execute(this::poll);
        return idleFuture;
    }

    /** Looks whether the wait is over. */
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
