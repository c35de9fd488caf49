package io.chicorytrestle.core.route;

import io.chicorytrestle.core.verdict.Verdict;

/**
 * Enumerates whether a request of a route may be executed more than once and whether its answer is
 * a stream.
 */
public enum Repeatability {

    /** Executing the request twice equals executing it once. */
    IDEMPOTENT {
        @Override
        public boolean isIdempotent() {
            return true;
        }

        @Override
        public boolean isStream() {
            return false;
        }
    },

    /** The request may be executed at most once. */
    NON_IDEMPOTENT {
        @Override
        public boolean isIdempotent() {
            return false;
        }

        @Override
        public boolean isStream() {
            return false;
        }
    },

    /** The answer is a stream of events; the request may be executed at most once. */
    STREAM {
        @Override
        public boolean isIdempotent() {
            return false;
        }

        @Override
        public boolean isStream() {
            return true;
        }
    },

    /** The answer is a stream of events that another endpoint may resume. */
    RESUMABLE_STREAM {
        @Override
        public boolean isIdempotent() {
            return true;
        }

        @Override
        public boolean isStream() {
            return true;
        }
    };

    /**
     * Returns {@code true} if executing a request twice is allowed.
     *
     * @return {@code true} if a second execution has no further effect for the caller.
     */
    public abstract boolean isIdempotent();

    /**
     * Returns {@code true} if the answer is a stream of events.
     *
     * @return {@code false} if the answer is sent as a whole.
     */
    public abstract boolean isStream();

    /**
     * Returns {@code true} if another endpoint may resume a stream that was interrupted.
     *
     * @return {@code true} only for streams that may be executed more than once.
     */
    public boolean allowsResume() {
        return isStream() && isIdempotent();
    }

    /**
     * Returns {@code true} if a request may be sent to an endpoint again.
     *
     * @param verdict Whether the request may have been executed.
     * @return {@code true} if the route is idempotent or the request was certainly not executed.
     */
    public boolean allowsRepeat(Verdict verdict) {
        return verdict.allowsRepeat(isIdempotent()) || isIdempotent();
    }
}
