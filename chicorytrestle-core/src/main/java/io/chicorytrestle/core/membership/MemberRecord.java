package io.chicorytrestle.core.membership;

/**
 * Holds all that this entry instance knows of a member.
 *
 * @param fact What is told to others.
 * @param locallyListedMillis The time in milliseconds at which this instance last saw the run on
 *     the platform's list, or at which it first heard of the run.
 * @param successMillis The time in milliseconds at which this instance last had a sign of life from
 *     the run, or zero.
 * @param penalty How often the member failed or restarted lately.
 */
public record MemberRecord(
        MemberFact fact, long locallyListedMillis, long successMillis, FlapPenalty penalty) {

    /** How long a sign of life outweighs the platform's list, in milliseconds. */
    public static final long SUCCESS_VALIDITY_MILLIS = 5_000;

    /**
     * Creates the record of a member that was just heard of.
     *
     * @param fact What was heard.
     * @param nowMillis The present time in milliseconds.
     * @return The record.
     */
    public static MemberRecord of(MemberFact fact, long nowMillis) {
        MemberFact seen = fact.withTimesCappedAt(nowMillis);
        FlapPenalty penalty =
                seen.failureMillis() > 0
                        ? FlapPenalty.NONE.increased(seen.failureMillis())
                        : FlapPenalty.NONE;
        return new MemberRecord(seen, nowMillis, 0, penalty);
    }

    /**
     * Returns this record after hearing a fact.
     *
     * @param heard The fact, of the same member.
     * @param nowMillis The present time in milliseconds.
     * @return The record, which is this one if nothing is new.
     */
    public MemberRecord merge(MemberFact heard, long nowMillis) {
        MemberFact merged = fact.merge(heard.withTimesCappedAt(nowMillis));
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
     * Returns this record after a sign of life from the run.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The record with a later time of success.
     */
    public MemberRecord withSuccess(long nowMillis) {
        return new MemberRecord(
                fact, locallyListedMillis, Math.max(successMillis, nowMillis), penalty);
    }

    /**
     * Returns the believed state.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The believed state.
     */
    public EndpointState state(long nowMillis) {
        boolean heard = successMillis > 0 && nowMillis <= successMillis + SUCCESS_VALIDITY_MILLIS;
        if (fact.isMissing() && !heard) {
            return EndpointState.GONE;
        }
        if (fact.leaving()) {
            return EndpointState.LEAVING;
        }
        return isHeldDown(nowMillis) ? EndpointState.SUSPECT : EndpointState.LIVE;
    }

    /**
     * Returns {@code true} if the run is held back.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the run failed and gave no sign of life since, or flaps.
     */
    private boolean isHeldDown(long nowMillis) {
        boolean failed =
                fact.failureMillis() > 0
                        && fact.failureMillis() >= successMillis
                        && nowMillis < fact.failureMillis() + penalty.holdDownMillis();
        return failed || penalty.isHeldDown(nowMillis);
    }
}
