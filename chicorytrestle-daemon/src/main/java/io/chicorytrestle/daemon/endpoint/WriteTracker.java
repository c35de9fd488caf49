package io.chicorytrestle.daemon.endpoint;

import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import java.util.function.LongPredicate;

/**
 * Tracks whether any byte of one request may have been written to its endpoint, which decides the
 * verdict if the request fails. It is confined to its event loop.
 */
final class WriteTracker {

    /** Decides immediately before the first byte whether the request may be written. */
    private final LongPredicate writePermission;

    /**
     * Whether a byte of the request may have been written. It is set before the write, so that it
     * is never too late.
     */
    private boolean mayBeWritten;

    /** Whether the write permission was denied. */
    private boolean writeDenied;

    /**
     * Creates a tracker.
     *
     * @param writePermission Called with the current time in milliseconds immediately before the
     *     first byte is written; returns whether the request may be written.
     */
    WriteTracker(LongPredicate writePermission) {
        this.writePermission = writePermission;
    }

    /** Records that the request is about to be written, perhaps to a connection that is reused. */
    void onResolved() {
        mayBeWritten = true;
    }

    /** Records that there was no connection to reuse, so that nothing has been written yet. */
    void onConnecting() {
        mayBeWritten = false;
    }

    /**
     * Checks the write permission after a new connection was established and records that the
     * request is about to be written.
     *
     * @param nowMillis The current time in milliseconds.
     * @return {@code false} if the request must not be written.
     */
    boolean onConnected(long nowMillis) {
        if (!writePermission.test(nowMillis)) {
            writeDenied = true;
            return false;
        }
        mayBeWritten = true;
        return true;
    }

    /**
     * Returns the failure to report for this request.
     *
     * @param endpoint The name of the endpoint.
     * @param cause The cause of the failure.
     * @return The failure. Its verdict is that nothing ran if no byte can have been written, and
     *     that the request may have run otherwise.
     */
    RequestFailureException toFailure(String endpoint, Exception cause) {
        if (writeDenied) {
            return RequestFailureException.notRun(
                    FailureCode.UNAVAILABLE, "Cannot send any more to endpoint: " + endpoint);
        }
        return new RequestFailureException(
                mayBeWritten ? FailureCode.ENDPOINT_FAILED : FailureCode.NO_ENDPOINT,
                mayBeWritten ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN,
                "Cannot reach endpoint: %s (%s)".formatted(endpoint, reasonOf(cause)),
                RequestFailureException.NO_RETRY_ADVICE);
    }

    /**
     * Returns the kind of failure, without any text that the peer sent.
     *
     * @param cause The cause of the failure.
     * @return The simple name of the exception's class.
     */
    private static String reasonOf(Exception cause) {
        return cause.getClass().getSimpleName();
    }
}
