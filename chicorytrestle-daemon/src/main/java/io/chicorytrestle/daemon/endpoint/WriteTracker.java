package io.chicorytrestle.daemon.endpoint;

import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import java.util.function.LongPredicate;

/**
 * Follows one request on its way to an endpoint, to tell whether any of its bytes may have been
 * written. It is confined to its event loop.
 */
final class WriteTracker {

    /** Asked immediately before the first byte is written. */
    private final LongPredicate writePermission;

    /** Whether a byte of the request may have been written. */
    private boolean mayBeWritten;

    /** Whether the request was held back immediately before its first byte. */
    private boolean writeDenied;

    /**
     * Creates a new attempt.
     *
     * @param mayWrite Asked with the present time in milliseconds immediately before the first byte
     *     is written.
     */
    WriteTracker(LongPredicate mayWrite) {
        this.writePermission = mayWrite;
    }

    /** Notes that the request goes to a connection next, perhaps one that is kept open. */
    void onResolved() {
        mayBeWritten = true;
    }

    /** Notes that no kept connection was there, so that nothing was written so far. */
    void onConnecting() {
        mayBeWritten = false;
    }

    /**
     * Notes that a new connection stands and that the request is written to it next.
     *
     * @param nowMillis The present time in milliseconds.
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
     * Returns the failure of this attempt.
     *
     * @param endpoint The name of the endpoint.
     * @param cause What went wrong.
     * @return The failure with the verdict that this attempt's progress allows.
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
     * Returns why a connection failed, without what a peer sent.
     *
     * @param cause What went wrong.
     * @return The kind of failure.
     */
    private static String reasonOf(Exception cause) {
        return cause.getClass().getSimpleName();
    }
}
