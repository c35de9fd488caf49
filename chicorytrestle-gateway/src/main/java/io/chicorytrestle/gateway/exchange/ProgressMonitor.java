package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.attempt.AttemptTimeouts;
import io.chicorytrestle.core.route.Route;

/**
 * Notices that an attempt's endpoint stays silent, if the request may be sent to another one. It is
 * confined to the event loop's thread.
 */
final class ProgressMonitor {

    /** What all requests share. */
    private final GatewayContext context;

    /** The route. */
    private final Route route;

    /** Called if the endpoint stays silent. */
    private final Runnable timeoutListener;

    /** The time in milliseconds at which part of a stream arrived last. */
    private long lastProgressMillis;

    /** Whether part of a stream arrived. */
    private boolean isStarted;

    /** Whether the endpoint is not read, since the caller reads slowly. */
    private boolean isPaused;

    /** Whether the attempt ended. */
    private boolean isEnded;

    /**
     * Creates a new watch.
     *
     * @param context What all requests share.
     * @param route The route.
     * @param silent Called if the endpoint stays silent.
     */
    ProgressMonitor(GatewayContext context, Route route, Runnable silent) {
        this.context = context;
        this.route = route;
        this.timeoutListener = silent;
    }

    /**
     * Waits for the begin of the answer.
     *
     * @param remainingMillis The time that is left for the request, in milliseconds.
     */
    void begin(long remainingMillis) {
        if (route.repeatability().isIdempotent()) {
            context.reactor()
                    .delayBackground(
                            AttemptTimeouts.answerTimeoutMillis(
                                    route.latencyTargetMillis(), remainingMillis),
                            () -> {
                                if (!isEnded && !isStarted) {
                                    timeoutListener.run();
                                }
                            });
        }
    }

    /** Takes note of part of a stream. */
    void recordProgress() {
        lastProgressMillis = context.nowMillis();
        isPaused = false;
        if (!isStarted) {
            isStarted = true;
            if (route.repeatability().allowsResume()) {
                checkForStall();
            }
        }
    }

    /** Expects nothing until more of the stream is read. */
    void pause() {
        isPaused = true;
    }

    /** Waits for the next part of a stream. */
    private void checkForStall() {
        if (isEnded) {
            return;
        }
        long stallMillis = AttemptTimeouts.stallTimeoutMillis(route.gapTargetMillis());
        long leftMillis =
                isPaused ? stallMillis : lastProgressMillis + stallMillis - context.nowMillis();
        if (leftMillis <= 0) {
            timeoutListener.run();
        } else {
            context.reactor().delayBackground(leftMillis, this::checkForStall);
        }
    }

    /** Takes note of the end of the attempt, or of an answer that is awaited to its end. */
    void end() {
        isEnded = true;
    }
}
