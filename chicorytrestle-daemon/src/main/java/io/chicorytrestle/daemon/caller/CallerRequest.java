package io.chicorytrestle.daemon.caller;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.Optional;

/**
 * Holds an authenticated request that was received whole.
 *
 * @param id The identifier of the request.
 * @param workspace The workspace that asks.
 * @param http The request over HTTP.
 * @param body The whole body.
 * @param startMillis The time of the request's start in milliseconds.
 * @param deadlineMillis The time by which the answer has to begin, in milliseconds.
 * @param loop The event loop of the caller's connection.
 */
record CallerRequest(
        String id,
        String workspace,
        HttpRequest http,
        String body,
        long startMillis,
        long deadlineMillis,
        Eventloop loop) {

    /** The header with the duration within which the answer has to begin. */
    private static final HttpHeader DEADLINE_HEADER = HttpHeaders.of("X-Deadline-Millis");

    /** The longest deadline in milliseconds, an hour. */
    private static final long MAXIMUM_DEADLINE_MILLIS = 3_600_000;

    /**
     * Returns a header.
     *
     * @param name The header.
     * @return Its value, or empty if there is none.
     */
    Optional<String> header(HttpHeader name) {
        return Optional.ofNullable(http.getHeader(name)).filter(value -> !value.isEmpty());
    }

    /**
     * Returns the connection of the caller.
     *
     * @return The connection of the caller.
     */
    CallerConnection connection() {
        return CallerConnectionTracker.connectionOf(http);
    }

    /**
     * Reads the duration within which an answer has to begin.
     *
     * @param http The request over HTTP.
     * @param fallbackMillis The duration if the caller names none.
     * @return The duration in milliseconds.
     * @throws RequestFailureException If the caller's value is malformed.
     */
    static long parseDeadlineMillis(HttpRequest http, long fallbackMillis)
            throws RequestFailureException {
        String value = http.getHeader(DEADLINE_HEADER);
        if (value == null) {
            return fallbackMillis;
        }
        try {
            long millis = Long.parseLong(value.trim());
            if (millis >= 0 && millis <= MAXIMUM_DEADLINE_MILLIS) {
                return millis;
            }
        } catch (NumberFormatException exception) {
            /* fall through to the refusal */
        }
        throw CompletionBodies.malformed(
                "X-Deadline-Millis is no whole number from 0 to " + MAXIMUM_DEADLINE_MILLIS);
    }
}
