package io.chicorytrestle.core.membership;

/**
 * Holds everything that this entry instance knows of a member.
 *
 * @param fact The fact that is exchanged with other instances.
 * @param locallyListedMillis The time in milliseconds at which this instance last saw the run on
 *     the platform's list, or at which it first received a fact of the run.
 * @param successMillis The time in milliseconds at which this instance last received a response or
 *     report from the run, or zero.
 * @param penalty The penalty for the member's recent failures and restarts.
 */
public record MemberRecord(
        MemberFact fact, long locallyListedMillis, long successMillis, FlapPenalty penalty) {

    /**
     * The time for which a success outweighs a platform's list that misses the run, in
     * milliseconds.
     */
    public static final long SUCCESS_VALIDITY_MILLIS = 5_000;

    /**
     * Creates the record of a member from its first fact.
     *
     * @param fact The first fact.
     * @param nowMillis The present time in milliseconds.
     * @return The record.
     */
    public static MemberRecord of(MemberFact fact, long nowMillis) {
        MemberFact capped = fact.withTimesCappedAt(nowMillis);
        FlapPenalty penalty =
                capped.failureMillis() > 0
                        ? FlapPenalty.NONE.increased(capped.failureMillis())
                        : FlapPenalty.NONE;
        return new MemberRecord(capped, nowMillis, 0, penalty);
    }

    /**
     * Returns this record merged with a fact. A later incarnation, or a failure of a run that is
     * not held down, increases the penalty.
     *
     * @param received The fact, of the same member.
     * @param nowMillis The present time in milliseconds.
     * @return The merged record, which is this one if the fact does not change.
     */
    public MemberRecord merge(MemberFact received, long nowMillis) {
        MemberFact merged = fact.merge(received.withTimesCappedAt(nowMillis));
        if (merged.equals(fact)) {
            return this;
        }
        if (merged.description().incarnation() > fact.description().incarnation()) {
            return new MemberRecord(merged, nowMillis, 0, penalty.increased(nowMillis));
        }
        boolean fails = merged.failureMillis() > fact.failureMillis() && !isHeldDown(nowMillis);
        return new MemberRecord(
                merged,
                locallyListedMillis,
                successMillis,
                fails ? penalty.increased(nowMillis) : penalty);
    }

    /**
     * Returns this record after this instance saw the run on the platform's list.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The record with a later time of listing.
     */
    public MemberRecord withLocalListing(long nowMillis) {
        MemberFact listed = fact.isMissing() ? fact.withListed(nowMillis) : fact;
        return new MemberRecord(
                listed, Math.max(locallyListedMillis, nowMillis), successMillis, penalty);
    }

    /**
     * Returns this record after a success of the run.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The record with a later time of success.
     */
    public MemberRecord withSuccess(long nowMillis) {
        return new MemberRecord(
                fact, locallyListedMillis, Math.max(successMillis, nowMillis), penalty);
    }

    /**
     * Returns the state that this instance assumes for the member.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The assumed state.
     */
    public EndpointState state(long nowMillis) {
        boolean responded =
                successMillis > 0 && nowMillis <= successMillis + SUCCESS_VALIDITY_MILLIS;
        if (fact.isMissing() && !responded) {
            return EndpointState.GONE;
        }
        if (fact.leaving()) {
            return EndpointState.LEAVING;
        }
        return isHeldDown(nowMillis) ? EndpointState.SUSPECT : EndpointState.LIVE;
    }

    /**
     * Returns {@code true} if the run is held down.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the run failed recently without a success since, or flaps.
     */
    private boolean isHeldDown(long nowMillis) {
        boolean failed =
                fact.failureMillis() > 0
                        && fact.failureMillis() >= successMillis
                        && nowMillis < fact.failureMillis() + penalty.holdDownMillis();
        return failed || penalty.isHeldDown(nowMillis);
    }
}
