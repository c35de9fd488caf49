package io.chicorytrestle.core.verdict;

import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;

/** Converts the exceptions with which futures complete to request failures. */
public final class Failures {

    /** Prevents instantiation. */
    private Failures() {}

    /**
     * Converts the exception of a future to a request failure.
     *
     * @param thrown The exception of the future, possibly wrapped in a {@link CompletionException}
     *     or {@link ExecutionException}.
     * @return The request failure that was thrown. A cancellation is converted to {@link
     *     FailureCode#UNAVAILABLE} and any other exception to {@link FailureCode#INTERNAL}, both
     *     with the verdict that the request may have run.
     */
    public static RequestFailureException of(Throwable thrown) {
        Throwable cause = thrown;
        while ((cause instanceof CompletionException || cause instanceof ExecutionException)
                && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof RequestFailureException failure) {
            return failure;
        }
        if (cause instanceof CancellationException) {
            return RequestFailureException.mayHaveRun(
                    FailureCode.UNAVAILABLE, "Cannot go on: the request was given up");
        }
        return RequestFailureException.mayHaveRun(
                FailureCode.INTERNAL, "Cannot go on: " + cause.getClass().getSimpleName());
    }
}
