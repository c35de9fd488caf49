package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.endpoint.Usage;
import org.jspecify.annotations.Nullable;

/**
 * The result of a piece of work.
 *
 * @param result How the work ended.
 * @param usage The tokens that the work used, or {@code null} if unknown.
 */
public record WorkOutcome(Result result, @Nullable Usage usage) {

    /** The ways in which work ends. */
    public enum Result {

        /** The work was completed. */
        DONE,

        /** The work was cancelled by its caller. */
        CANCELLED,

        /** The endpoint refused the work, which did not run. */
        REFUSED,

        /** The endpoint could not be reached, or its connection broke during the work. */
        BROKEN;

        /**
         * Returns {@code true} if the endpoint, not the caller, ended the work early.
         *
         * @return {@code true} if the endpoint failed.
         */
        public boolean endpointFailed() {
            return this == REFUSED || this == BROKEN;
        }
    }
}
