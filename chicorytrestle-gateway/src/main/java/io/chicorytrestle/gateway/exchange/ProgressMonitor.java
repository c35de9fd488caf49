package io.chicorytrestle.gateway.exchange;

import io.activej.reactor.schedule.ScheduledRunnable;
import io.chicorytrestle.core.attempt.AttemptTimeouts;
import io.chicorytrestle.core.route.Route;
import io.chicorytrestle.gateway.link.EventLoopLag;
import org.jspecify.annotations.Nullable;

/**
 * Detects that an attempt's endpoint sends no response, or no more of a stream, in time, if the
 * request may be sent to another endpoint. It is confined to the event loop's thread.
 */
final class ProgressMonitor {

    /** Supplies the clock and the timers. */
    private final GatewayContext context;

    /** The route, which sets the time-outs. */
    private final Route route;

    /** Called if a time-out passes. */
    private final Runnable timeoutListener;

    /** The time in milliseconds at which the last part of a stream arrived. */
    private long lastProgressMillis;

    /** Whether any part of a stream arrived. */
    private boolean isStarted;

    /** Whether reading from the endpoint is paused because the caller reads slowly. */
    private boolean isPaused;

    /** Whether no time-out is awaited any more. */
    private boolean isEnded;

    /** The time-out that is awaited, or null before the first one. */
    private @Nullable ScheduledRunnable timer;

    /**
     * Creates a monitor; {@link #begin} starts it.
     *
     * @param context Supplies the clock and the timers.
     * @param route The route, which sets the time-outs.
     * @param timeoutListener Called when a time-out passes.
     */
    ProgressMonitor(GatewayContext context, Route route, Runnable timeoutListener) {
        this.context = context;
        this.route = route;
        this.timeoutListener = timeoutListener;
    }

    /**
     * Starts the time-out for the begin of the response, if the request is idempotent.
     *
     * @param remainingMillis The time until the request's deadline in milliseconds.
     */
    void begin(long remainingMillis) {
        if (route.repeatability().isIdempotent()) {
            startTimer(
                    AttemptTimeouts.answerTimeoutMillis(
                            route.latencyTargetMillis(), remainingMillis),
                    () -> {
                        if (!isEnded && !isStarted) {
                            timeoutListener.run();
                        }
                    });
        }
    }

    /**
     * Records a part of a stream. The first one starts the check for stalls if the stream can be
     * resumed.
     */
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

    /** Suspends the check for stalls until the next progress. */
    void pause() {
        isPaused = true;
    }

    /** Reports a stall, or schedules the next check. */
    private void checkForStall() {
        if (isEnded) {
            return;
        }
        long stallMillis = AttemptTimeouts.stallTimeoutMillis(route.gapTargetMillis());
        long remainingMillis =
                isPaused ? stallMillis : lastProgressMillis + stallMillis - context.nowMillis();
        if (remainingMillis <= 0) {
            timeoutListener.run();
        } else {
            startTimer(remainingMillis, this::checkForStall);
        }
    }

    /**
     * Starts a time-out in place of the one that is awaited.
     *
     * @param delayMillis The time in milliseconds.
     * @param action Called when the time has passed.
     */
    private void startTimer(long delayMillis, Runnable action) {
        cancelTimer();
        timer = EventLoopLag.delayUntilInputIsHandled(context.reactor(), delayMillis, action);
    }

    /** Cancels the time-out, if one is awaited, since it holds the request with its body. */
    private void cancelTimer() {
        if (timer != null && timer.isActive()) {
            timer.cancel();
        }
        timer = null;
    }

    /** Stops the monitor, since the attempt ended or its response is awaited until the deadline. */
    void end() {
        isEnded = true;
        cancelTimer();
    }
}
