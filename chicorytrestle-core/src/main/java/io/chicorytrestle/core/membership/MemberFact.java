package io.chicorytrestle.core.membership;

/**
 * Holds what entry instances exchange about one run of a member. Merging facts of one member is
 * commutative, associative and idempotent, so that they may arrive repeatedly and in any order.
 *
 * @param description The member's run.
 * @param leaving {@code true} once the run was reported as leaving; this is never reverted.
 * @param failureMillis The time in milliseconds of the run's last failure, or zero.
 * @param listedMillis The time in milliseconds at which the run was found on the platform's list
 *     after it had been missing, or zero.
 * @param missingMillis The time in milliseconds at which the run was found missing on the
 *     platform's list, or zero.
 */
public record MemberFact(
        MemberDescription description,
        boolean leaving,
        long failureMillis,
        long listedMillis,
        long missingMillis) {

    /**
     * Creates the fact that a run exists.
     *
     * @param description The member's run.
     * @param leaving {@code true} if the run is leaving.
     * @return The fact.
     */
    public static MemberFact of(MemberDescription description, boolean leaving) {
        return new MemberFact(description, leaving, 0, 0, 0);
    }

    /**
     * Returns the member's key.
     *
     * @return The key, which is the same for all runs of the member.
     */
    public MemberKey key() {
        return description.key();
    }

    /**
     * Returns {@code true} if the run is missing on the platform's list.
     *
     * @return {@code true} if the run was found missing after it was found listed.
     */
    public boolean isMissing() {
        return missingMillis > listedMillis;
    }

    /**
     * Returns {@code true} if this fact differs from another at most in its times.
     *
     * @param other The other fact.
     * @return {@code true} if the run, its leaving and whether it is missing are the same.
     */
    public boolean isEquivalentTo(MemberFact other) {
        return description.equals(other.description)
                && leaving == other.leaving
                && isMissing() == other.isMissing();
    }

    /**
     * Merges two facts of the same member. A later incarnation replaces an earlier one.
     *
     * @param other The other fact.
     * @return The merged fact, with the latest of each time if the incarnations are equal.
     */
    public MemberFact merge(MemberFact other) {
        int order = Long.compare(description.incarnation(), other.description.incarnation());
        if (order != 0) {
            return order > 0 ? this : other;
        }
        return new MemberFact(
                description.compareTo(other.description) >= 0 ? description : other.description,
                leaving || other.leaving,
                Math.max(failureMillis, other.failureMillis),
                Math.max(listedMillis, other.listedMillis),
                Math.max(missingMillis, other.missingMillis));
    }

    /**
     * Returns this fact with no time later than the given one, so that an instance whose clock runs
     * ahead has no lasting effect.
     *
     * @param nowMillis The latest time that is allowed, in milliseconds.
     * @return This fact with its times capped.
     */
    public MemberFact withTimesCappedAt(long nowMillis) {
        return new MemberFact(
                description,
                leaving,
                Math.min(failureMillis, nowMillis),
                Math.min(listedMillis, nowMillis),
                Math.min(missingMillis, nowMillis));
    }

    /**
     * Returns this fact with the run marked as leaving.
     *
     * @return The fact of the leaving run.
     */
    public MemberFact withLeaving() {
        return new MemberFact(description, true, failureMillis, listedMillis, missingMillis);
    }

    /**
     * Returns this fact with a failure.
     *
     * @param atMillis The time of the failure in milliseconds.
     * @return This fact with a failure at that time.
     */
    public MemberFact withFailure(long atMillis) {
        return new MemberFact(description, leaving, atMillis, listedMillis, missingMillis);
    }

    /**
     * Returns this fact with the run on the platform's list again.
     *
     * @param atMillis The time in milliseconds.
     * @return This fact with a later time of listing.
     */
    public MemberFact withListed(long atMillis) {
        return new MemberFact(description, leaving, failureMillis, atMillis, missingMillis);
    }

    /**
     * Returns this fact with the run missing on the platform's list.
     *
     * @param atMillis The time in milliseconds.
     * @return This fact with a later time of missing.
     */
    public MemberFact withMissing(long atMillis) {
        return new MemberFact(description, leaving, failureMillis, listedMillis, atMillis);
    }
}
