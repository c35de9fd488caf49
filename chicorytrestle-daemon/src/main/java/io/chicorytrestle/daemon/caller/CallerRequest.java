package io.chicorytrestle.daemon.caller;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.Optional;

/**
 * Holds an authenticated request whose body was received completely.
 *
 * @param id The identifier of the request.
 * @param workspace The workspace that the caller authenticated as.
 * @param http The HTTP request.
 * @param body The complete body as text.
 * @param startMillis The time of the request's start in milliseconds.
 * @param deadlineMillis The time by which the response has to begin, in milliseconds.
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

    /** The header with the number of milliseconds within which the response has to begin. */
    private static final HttpHeader DEADLINE_HEADER = HttpHeaders.of("X-Deadline-Millis");

    /** The maximum deadline in milliseconds, one hour. */
    private static final long MAXIMUM_DEADLINE_MILLIS = 3_600_000;

    /**
     * Returns the value of a header.
     *
     * @param name The header.
     * @return The value, or empty if the header is missing or empty.
     */
    Optional<String> header(HttpHeader name) {
        return Optional.ofNullable(http.getHeader(name)).filter(value -> !value.isEmpty());
    }

    /**
     * Returns the tracked connection of the caller.
     *
     * @return The tracked connection.
     */
    CallerConnection connection() {
        return CallerConnectionTracker.connectionOf(http);
    }

    /**
     * Reads the duration within which the response has to begin.
     *
     * @param http The HTTP request.
     * @param defaultMillis The duration if the request has no such header.
     * @return The duration in milliseconds.
     * @throws RequestFailureException If the header isn't an integer between zero and the maximum
     *     deadline.
     */
    static long parseDeadlineMillis(HttpRequest http, long defaultMillis)
            throws RequestFailureException {
        String value = http.getHeader(DEADLINE_HEADER);
        if (value == null) {
            return defaultMillis;
        }
        try {
            long millis = Long.parseLong(value.trim());
            if (millis >= 0 && millis <= MAXIMUM_DEADLINE_MILLIS) {
                return millis;
            }
        } catch (NumberFormatException exception) {
            /* Handled by the exception below. */
        }
        throw CompletionBodies.malformed(
                "X-Deadline-Millis is no whole number from 0 to " + MAXIMUM_DEADLINE_MILLIS);
    }
}
