package io.chicorytrestle.core.route;

import io.chicorytrestle.core.verdict.Verdict;

/** Enumerates how often a request of a route may be executed. */
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

    /** The answer is a stream of events that is produced at most once. */
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

    /** The answer is a stream of events that another endpoint may continue. */
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
     * @return {@code true} if executing a request twice is allowed.
     */
    public abstract boolean isIdempotent();

    /**
     * Returns {@code true} if the answer is a stream of events.
     *
     * @return {@code true} if the answer is a stream of events.
     */
    public abstract boolean isStream();

    /**
     * Returns {@code true} if a stream that broke off may be continued by another endpoint.
     *
     * @return {@code true} if a broken stream may be continued.
     */
    public boolean allowsResume() {
        return isStream() && isIdempotent();
    }

    /**
     * Returns {@code true} if a request may be sent once more.
     *
     * @param verdict Whether the request may have been executed.
     * @return {@code true} if the request may be sent once more.
     */
    public boolean allowsRepeat(Verdict verdict) {
        return verdict.allowsRepeat(isIdempotent()) || isIdempotent();
    }
}
