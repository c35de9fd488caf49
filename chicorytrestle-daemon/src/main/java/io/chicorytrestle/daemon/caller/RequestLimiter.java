package io.chicorytrestle.daemon.caller;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the requests in flight and turns new ones away. Several threads may call it. */
public final class RequestLimiter {

    /** The most requests in flight. */
    private final int maximumInFlight;

    /** The requests in flight. */
    private final AtomicInteger inFlight = new AtomicInteger();

    /** Whether new requests are turned away because the process shuts down. */
    private final AtomicBoolean draining = new AtomicBoolean();

    /**
     * Creates a new counter.
     *
     * @param maximum The most requests in flight.
     */
    public RequestLimiter(int maximum) {
        this.maximumInFlight = maximum;
    }

    /**
     * Counts a request that starts.
     *
     * @return {@code false} if there are too many, so that the request must not start.
     */
    boolean tryAcquire() {
        if (inFlight.incrementAndGet() > maximumInFlight) {
            inFlight.decrementAndGet();
            return false;
        }
        return true;
    }

    /** Counts a request that ended. */
    void release() {
        inFlight.decrementAndGet();
    }

    /** Turns new requests away from now on. */
    public void startDraining() {
        draining.set(true);
    }

    /**
     * Returns {@code true} if new requests are turned away.
     *
     * @return {@code true} if new requests are turned away.
     */
    public boolean isDraining() {
        return draining.get();
    }

    /**
     * Returns the requests in flight.
     *
     * @return The requests in flight.
     */
    public int inFlight() {
        return inFlight.get();
    }
}
