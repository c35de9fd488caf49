package io.chicorytrestle.core.routing;

/**
 * Holds what an entry instance may do under the steward that it follows.
 *
 * @param leader The name of the steward, or empty if none is followed.
 * @param isJoined Whether the steward has accepted this instance.
 * @param expiresAtMillis The end of the lease in milliseconds.
 * @param sentAtMillis The time of the last report or renewal in milliseconds.
 * @param receivedAtMillis The time of the last answer in milliseconds.
 */
record LeaderLease(
        String leader,
        boolean isJoined,
        long expiresAtMillis,
        long sentAtMillis,
        long receivedAtMillis) {

    /** The lease of an instance that follows no steward. */
    static final LeaderLease NONE = new LeaderLease("", false, 0, 0, 0);

    /**
     * Returns the lease of an instance that reports to a steward.
     *
     * @param steward The name of the steward.
     * @param nowMillis The present time in milliseconds.
     * @return The lease.
     */
    static LeaderLease joining(String steward, long nowMillis) {
        return new LeaderLease(steward, false, 0, nowMillis, nowMillis - 1);
    }

    /**
     * Returns the lease of an instance that was asked to join and did.
     *
     * @param steward The name of the steward.
     * @param nowMillis The present time in milliseconds.
     * @param untilMillis The end of the lease in milliseconds.
     * @return The lease.
     */
    static LeaderLease joined(String steward, long nowMillis, long untilMillis) {
        return new LeaderLease(steward, true, untilMillis, nowMillis, nowMillis);
    }

    /**
     * Returns this lease after a renewal was sent.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The lease.
     */
    LeaderLease afterSending(long nowMillis) {
        return new LeaderLease(leader, isJoined, expiresAtMillis, nowMillis, receivedAtMillis);
    }

    /**
     * Returns this lease after an answer arrived.
     *
     * @param nowMillis The present time in milliseconds.
     * @param untilMillis The end of the lease in milliseconds.
     * @return The lease.
     */
    LeaderLease afterReply(long nowMillis, long untilMillis) {
        return new LeaderLease(
                leader, true, Math.max(this.expiresAtMillis, untilMillis), sentAtMillis, nowMillis);
    }

    /**
     * Returns {@code true} if no steward is followed.
     *
     * @return {@code true} if no steward is followed.
     */
    boolean hasNoLeader() {
        return leader.isEmpty();
    }

    /**
     * Returns {@code true} if grants of the steward may be used.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the lease is valid.
     */
    boolean isValid(long nowMillis) {
        return isJoined && nowMillis < expiresAtMillis;
    }

    /**
     * Returns {@code true} if a report or a renewal is not answered.
     *
     * @return {@code true} if an answer is awaited.
     */
    boolean isAwaitingReply() {
        return receivedAtMillis < sentAtMillis;
    }
}
