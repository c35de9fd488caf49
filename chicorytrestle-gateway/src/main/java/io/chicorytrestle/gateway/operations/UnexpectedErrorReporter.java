package io.chicorytrestle.gateway.operations;

import com.codahale.metrics.Counter;
import com.google.common.flogger.FluentLogger;
import io.activej.common.exception.FatalErrorHandler;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Counts and logs errors that left a task of the event loop, which goes on with its next task. The
 * interrupted task may have been the only one that keeps a connection or a watch going.
 */
public final class UnexpectedErrorReporter implements FatalErrorHandler {

    /** Logs unexpected errors. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The shortest interval in seconds between two log lines. */
    private static final int LOG_INTERVAL_SECONDS = 1;

    /** The line for an error that cannot be logged, encoded while there is memory for it. */
    private static final byte[] UNREPORTED_LINE =
            "{\"level\":\"SEVERE\",\"event\":\"unexpected_error_not_reported\"}\n"
                    .getBytes(StandardCharsets.UTF_8);

    /** Counts unexpected errors. */
    private final Counter errors;

    /**
     * Creates a new reporter.
     *
     * @param metrics Receives the counter of unexpected errors.
     */
    public UnexpectedErrorReporter(GatewayMetrics metrics) {
        errors = metrics.counter("unexpected_errors_total");
    }

    /**
     * Counts and logs an error. An error that is thrown meanwhile, such as for want of memory, is
     * not passed on, since it would end the event loop and so the process.
     *
     * @param error The error.
     * @param context What the event loop was running, or null.
     */
    @Override
    public void handle(Throwable error, @Nullable Object context) {
        try {
            errors.inc();
            log(error);
        } catch (RuntimeException | Error unreported) {
            AsyncLineWriter.STANDARD_OUTPUT.offer(UNREPORTED_LINE);
        }
    }

    /**
     * Logs an error.
     *
     * @param error The error.
     */
    private void log(Throwable error) {
        LOGGER.atSevere()
                .atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS)
                .with(LogFields.REASON, describe(error))
                .with(LogFields.COUNT, (int) errors.getCount())
                .log("unexpected_error");
    }

    /**
     * Describes an error and where it was thrown.
     *
     * @param error The error.
     * @return Its class and message, and the innermost frame if it is known.
     */
    private static String describe(Throwable error) {
        StackTraceElement[] frames = error.getStackTrace();
        return frames.length == 0 ? error.toString() : error + " at " + frames[0];
    }
}
