package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.admission.ArrivalQueue;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Starts received requests after all input of the event loop's iteration was handled, and for a
 * limited time in each iteration. An instance that is behind so keeps noticing callers that leave,
 * endpoints that answer and configurations that change. It is confined to the event loop's thread.
 */
final class RequestStarter {

    /** The time in milliseconds for which requests are started in one iteration. */
    private static final long MAXIMUM_START_MILLIS = 10;

    /**
     * The age in milliseconds beyond which a request is started only after another poll for input,
     * since its caller may have left in the meantime.
     */
    private static final long MAXIMUM_AGE_MILLIS = 50;

    /** Supplies the clock and the event loop. */
    private final GatewayContext context;

    /** The old requests whose callers may have left. */
    private final Set<Startable> unconfirmed = new HashSet<>();

    /** The requests that are to be started. */
    private final ArrivalQueue<Startable> queue = new ArrivalQueue<>();

    /** Whether the next run is scheduled. */
    private boolean isScheduled;

    /**
     * Creates a starter without requests.
     *
     * @param context Supplies the clock and the event loop.
     */
    RequestStarter(GatewayContext context) {
        this.context = context;
    }

    /**
     * Starts a request soon.
     *
     * @param request The request.
     */
    void add(Startable request) {
        if (context.nowMillis() - request.arrivedMillis() <= MAXIMUM_AGE_MILLIS) {
            enqueue(request);
            return;
        }
        unconfirmed.add(request);
        context.reactor()
                .postNext(
                        () -> {
                            if (unconfirmed.remove(request)) {
                                enqueue(request);
                            }
                        });
    }

    /**
     * Adds a request to the queue, and starts the queue unless it runs already.
     *
     * @param request The request.
     */
    private void enqueue(Startable request) {
        queue.add(request, request.arrivedMillis(), request.deadlineMillis());
        if (!isScheduled) {
            isScheduled = true;
            context.reactor().post(this::startRequests);
        }
    }

    /**
     * Removes a request whose caller has left.
     *
     * @param request The request, which may have been started already.
     */
    void remove(Startable request) {
        unconfirmed.remove(request);
        queue.remove(request);
    }

    /**
     * Refuses the overdue requests, and starts others until the time of this iteration is over. An
     * unexpected error in one request does not keep the others from being started.
     */
    private void startRequests() {
        isScheduled = false;
        try {
            queue.removeOverdue(context.nowMillis()).forEach(Startable::refuseOverdue);
            startUntilTimeIsOver();
        } finally {
            if (!queue.isEmpty() && !isScheduled) {
                isScheduled = true;
                context.reactor().postNext(this::startRequests);
            }
        }
    }

    /** Starts requests until none is left or the time of this iteration is over. */
    private void startUntilTimeIsOver() {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAXIMUM_START_MILLIS);
        while (!queue.isEmpty()) {
            queue.removeNext(context.nowMillis()).ifPresent(Startable::start);
            if (System.nanoTime() - endNanos >= 0) {
                return;
            }
        }
    }

    /** A request that was received and not started. */
    interface Startable {

        /**
         * Returns the earliest time at which the request can have arrived.
         *
         * @return The time in milliseconds.
         */
        long arrivedMillis();

        /**
         * Returns the time for which the caller waits from the arrival on.
         *
         * @return The time in milliseconds.
         */
        long deadlineMillis();

        /** Routes the request and places it on an endpoint. */
        void start();

        /** Refuses the request, since it has waited for too long. */
        void refuseOverdue();
    }
}
