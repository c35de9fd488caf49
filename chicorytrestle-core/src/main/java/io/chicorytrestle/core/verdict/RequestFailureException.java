package io.chicorytrestle.core.verdict;

/**
 * Thrown when a request fails. Carries a stable code and the verdict on the request's execution.
 */
public final class RequestFailureException extends Exception {

    /** The value of {@link #retryAfterMillis()} if no delay is advised. */
    public static final long NO_RETRY_ADVICE = -1L;

    private static final long serialVersionUID = 1L;

    /** The stable code that is reported to the caller. */
    private final FailureCode code;

    /** Whether the request may have been executed. */
    private final Verdict verdict;

    /** The advised delay before a retry in milliseconds, or {@link #NO_RETRY_ADVICE}. */
    private final long retryAfterMillis;

    /**
     * Creates a new failure.
     *
     * @param code The stable code of the failure.
     * @param verdict The verdict on the request's execution.
     * @param message What was refused and why, without secrets or bodies.
     * @param retryAfterMillis The advised delay before a retry in milliseconds, or {@link
     *     #NO_RETRY_ADVICE}.
     */
    public RequestFailureException(
            FailureCode code, Verdict verdict, String message, long retryAfterMillis) {
        super(message);
        this.code = code;
        this.verdict = verdict;
        this.retryAfterMillis = retryAfterMillis;
    }

    /**
     * Creates a new failure of a request that was certainly not executed.
     *
     * @param code The stable code of the failure.
     * @param message What was refused and why.
     * @return A failure with the verdict {@link Verdict#NOT_RUN} and no retry advice.
     */
    public static RequestFailureException notRun(FailureCode code, String message) {
        return new RequestFailureException(code, Verdict.NOT_RUN, message, NO_RETRY_ADVICE);
    }

    /**
     * Creates a new failure of a request that may have been executed.
     *
     * @param code The stable code of the failure.
     * @param message What failed and why.
     * @return A failure with the verdict {@link Verdict#MAY_HAVE_RUN} and no retry advice.
     */
    public static RequestFailureException mayHaveRun(FailureCode code, String message) {
        return new RequestFailureException(code, Verdict.MAY_HAVE_RUN, message, NO_RETRY_ADVICE);
    }

    /**
     * Returns a copy of this failure with an advised delay before a retry.
     *
     * @param retryAfterMillis The advised delay in milliseconds.
     * @return A failure that differs from this one only in the advised delay.
     */
    public RequestFailureException withRetryAfterMillis(long retryAfterMillis) {
        return new RequestFailureException(code, verdict, message(), retryAfterMillis);
    }

    /**
     * Returns the stable code that is reported to the caller.
     *
     * @return The stable code of the failure.
     */
    public FailureCode code() {
        return code;
    }

    /**
     * Returns whether the request may have been executed.
     *
     * @return The verdict on the request's execution.
     */
    public Verdict verdict() {
        return verdict;
    }

    /**
     * Returns the message, or the text of the code if there is none.
     *
     * @return The message, which is never {@code null}.
     */
    public String message() {
        String message = getMessage();
        return message == null ? code.wireName() : message;
    }

    /**
     * Returns the advised delay before a retry.
     *
     * @return The delay in milliseconds, or {@link #NO_RETRY_ADVICE}.
     */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
