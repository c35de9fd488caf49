package io.chicorytrestle.core.verdict;

/** Expresses whether a request may have been executed by an endpoint. */
public enum Verdict {

    /** The request was certainly not executed. */
    NOT_RUN {
        @Override
        public boolean allowsRepeat(boolean idempotent) {
            return true;
        }
    },

    /** The request may have been executed, in whole or in part. */
    MAY_HAVE_RUN {
        @Override
        public boolean allowsRepeat(boolean idempotent) {
            return idempotent;
        }
    },

    /** The request was certainly executed. */
    RAN {
        @Override
        public boolean allowsRepeat(boolean idempotent) {
            return false;
        }
    };

    /**
     * Returns {@code true} if a request with this verdict may be sent to an endpoint again.
     *
     * @param idempotent {@code true} if executing the request twice equals executing it once.
     * @return {@code true} if another attempt cannot break the guarantee given to the caller.
     */
    public abstract boolean allowsRepeat(boolean idempotent);

    /**
     * Returns the verdict on two attempts of the same request.
     *
     * @param other The verdict of the other attempt.
     * @return The verdict that is later in the order of this enumeration: one attempt that ran
     *     outweighs another that did not.
     */
    public Verdict combinedWith(Verdict other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
