package io.chicorytrestle.core.routing;

/**
 * The lease that an entry instance has from the leader that it follows.
 *
 * @param leader The name of the leader, or an empty string if none is followed.
 * @param isJoined Whether the leader has accepted this instance.
 * @param expiresAtMillis The end of the lease in milliseconds.
 * @param sentAtMillis The time of the last report or renewal in milliseconds.
 * @param receivedAtMillis The time of the last reply in milliseconds.
 */
record LeaderLease(
        String leader,
        boolean isJoined,
        long expiresAtMillis,
        long sentAtMillis,
        long receivedAtMillis) {

    /** The lease of an instance that follows no leader. */
    static final LeaderLease NONE = new LeaderLease("", false, 0, 0, 0);

    /**
     * Returns the lease of an instance that sends a report to join a leader. It is not valid yet.
     *
     * @param leader The name of the leader.
     * @param nowMillis The current time in milliseconds.
     * @return The lease.
     */
    static LeaderLease joining(String leader, long nowMillis) {
        return new LeaderLease(leader, false, 0, nowMillis, nowMillis - 1);
    }

    /**
     * Returns the lease of an instance that accepted a leader's request to follow it.
     *
     * @param leader The name of the leader.
     * @param nowMillis The current time in milliseconds.
     * @param expiresAtMillis The end of the lease in milliseconds.
     * @return The lease.
     */
    static LeaderLease joined(String leader, long nowMillis, long expiresAtMillis) {
        return new LeaderLease(leader, true, expiresAtMillis, nowMillis, nowMillis);
    }

    /**
     * Returns this lease after a renewal was sent.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The lease.
     */
    LeaderLease afterSending(long nowMillis) {
        return new LeaderLease(leader, isJoined, expiresAtMillis, nowMillis, receivedAtMillis);
    }

    /**
     * Returns this lease after a reply arrived. Its end never moves back.
     *
     * @param nowMillis The current time in milliseconds.
     * @param expiresAtMillis The end of the lease in milliseconds.
     * @return The lease.
     */
    LeaderLease afterReply(long nowMillis, long expiresAtMillis) {
        return new LeaderLease(
                leader,
                true,
                Math.max(this.expiresAtMillis, expiresAtMillis),
                sentAtMillis,
                nowMillis);
    }

    /**
     * Returns {@code true} if no leader is followed.
     *
     * @return {@code true} if no leader is followed.
     */
    boolean hasNoLeader() {
        return leader.isEmpty();
    }

    /**
     * Returns {@code true} if grants of the leader may be used.
     *
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the lease is valid.
     */
    boolean isValid(long nowMillis) {
        return isJoined && nowMillis < expiresAtMillis;
    }

    /**
     * Returns {@code true} if a report or a renewal is unanswered.
     *
     * @return {@code true} if a reply is awaited.
     */
    boolean isAwaitingReply() {
        return receivedAtMillis < sentAtMillis;
    }
}
