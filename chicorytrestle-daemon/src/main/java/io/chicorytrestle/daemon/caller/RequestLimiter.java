package io.chicorytrestle.daemon.caller;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Limits the requests in flight. It is thread-safe. */
public final class RequestLimiter {

    /** The maximum number of requests in flight. */
    private final int maximumInFlight;

    /** The number of requests in flight. */
    private final AtomicInteger inFlight = new AtomicInteger();

    /** Whether the process shuts down, so that new requests are refused. */
    private final AtomicBoolean draining = new AtomicBoolean();

    /**
     * Creates a limiter.
     *
     * @param maximumInFlight The maximum number of requests in flight.
     */
    public RequestLimiter(int maximumInFlight) {
        this.maximumInFlight = maximumInFlight;
    }

    /**
     * Acquires a permit for a request that starts.
     *
     * @return {@code false} if the maximum is reached, so that the request must be refused.
     */
    boolean tryAcquire() {
        if (inFlight.incrementAndGet() > maximumInFlight) {
            inFlight.decrementAndGet();
            return false;
        }
        return true;
    }

    /** Releases the permit of a request that ended. */
    void release() {
        inFlight.decrementAndGet();
    }

    /** Marks the process as shutting down, so that new requests are refused. */
    public void startDraining() {
        draining.set(true);
    }

    /**
     * Returns whether the process shuts down.
     *
     * @return {@code true} if new requests have to be refused.
     */
    public boolean isDraining() {
        return draining.get();
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return The number of requests in flight.
     */
    public int inFlight() {
        return inFlight.get();
    }
}
