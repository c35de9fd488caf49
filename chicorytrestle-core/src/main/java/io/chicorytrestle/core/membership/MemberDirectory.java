package io.chicorytrestle.core.membership;

import com.google.common.hash.Hashing;
import io.chicorytrestle.core.blackboard.ShardedMap;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.UnaryOperator;

/** Keeps the records of all members in shards. Several threads may call it. */
public final class MemberDirectory {

    /** The parts into which the facts of a zone are divided for comparison. */
    public static final int BUCKET_COUNT = 16;

    /** The largest part of the listed members that may be found missing at once. */
    private static final double MAXIMUM_MISSING_FRACTION = 0.5;

    /** How long a run must be missing on the list before it counts as missing, in milliseconds. */
    private static final long MISSING_AFTER_MILLIS = 8_000;

    /** How long the record of a missing member is kept, in milliseconds. */
    private static final long RETENTION_MILLIS = 600_000;

    /** The most members that are kept. */
    private static final int MAXIMUM_MEMBERS = 20_000;

    /** The records by member. */
    private final ShardedMap<MemberKey, MemberRecord> records = ShardedMap.make();

    /** The sums of the hashes of the compared facts, by zone and bucket. */
    private final ShardedMap<String, AtomicLongArray> digests = ShardedMap.make();

    /**
     * Merges a fact.
     *
     * @param fact The fact.
     * @param nowMillis The present time in milliseconds.
     * @return What changed.
     */
    public Change merge(MemberFact fact, long nowMillis) {
        if (records.get(fact.key()) == null && records.size() >= MAXIMUM_MEMBERS) {
            return Change.NONE;
        }
        return updateRecord(
                fact.key(),
                present ->
                        present.isEmpty()
                                ? Optional.of(MemberRecord.of(fact, nowMillis))
                                : present.map(known -> known.merge(fact, nowMillis)));
    }

    /**
     * Changes the record of a member if it is known.
     *
     * @param key The member's key.
     * @param operator Computes the new record.
     * @return What changed.
     */
    public Change update(MemberKey key, UnaryOperator<MemberRecord> operator) {
        return updateRecord(key, present -> present.map(operator));
    }

    /**
     * Merges a list that this instance read from the platform.
     *
     * @param list The list.
     * @param nowMillis The present time in milliseconds.
     * @return The facts that are new.
     */
    public List<MemberFact> mergeList(List<MemberFact> list, long nowMillis) {
        Set<MemberKey> listed = new HashSet<>();
        List<MemberFact> changed = new ArrayList<>();
        for (MemberFact fact : list) {
            listed.add(fact.key());
            boolean isNews = merge(fact, nowMillis).isSignificant(nowMillis);
            Change seen = update(fact.key(), record -> withListing(record, fact, nowMillis));
            if (isNews || seen.isSignificant(nowMillis)) {
                fact(fact.key()).ifPresent(changed::add);
            }
        }
        changed.addAll(mergeMissing(listed, nowMillis));
        return changed;
    }

    /**
     * Marks the members that have been missing on the list for long. A list that lacks more than
     * half of them at once is not believed.
     *
     * @param listed The members on the list.
     * @param nowMillis The present time in milliseconds.
     * @return The facts that are new.
     */
    private List<MemberFact> mergeMissing(Set<MemberKey> listed, long nowMillis) {
        List<MemberKey> missing = new ArrayList<>();
        for (MemberRecord record : records()) {
            boolean isAbsent = !listed.contains(record.fact().key());
            boolean isLate = nowMillis > record.locallyListedMillis() + MISSING_AFTER_MILLIS;
            if (isAbsent && isLate && !record.fact().isMissing()) {
                missing.add(record.fact().key());
            }
        }
        List<MemberFact> changed = new ArrayList<>();
        if (missing.size() > (listed.size() + missing.size()) * MAXIMUM_MISSING_FRACTION) {
            return changed;
        }
        for (MemberKey key : missing) {
            update(key, record -> record.merge(record.fact().withMissing(nowMillis), nowMillis));
            fact(key).ifPresent(changed::add);
        }
        return changed;
    }

    /**
     * Returns a record after a list named its member.
     *
     * @param record The record.
     * @param fact What the list named.
     * @param nowMillis The present time in milliseconds.
     * @return The record, changed only if the list named the same run.
     */
    private static MemberRecord withListing(MemberRecord record, MemberFact fact, long nowMillis) {
        boolean isSameRun =
                record.fact().description().incarnation() == fact.description().incarnation();
        return isSameRun ? record.withLocalListing(nowMillis) : record;
    }

    /**
     * Drops the records of members that have been missing for very long.
     *
     * @param nowMillis The present time in milliseconds.
     */
    public void expire(long nowMillis) {
        for (MemberRecord record : records()) {
            if (isExpired(record, nowMillis)) {
                updateRecord(
                        record.fact().key(),
                        present -> present.filter(found -> !isExpired(found, nowMillis)));
            }
        }
    }

    /**
     * Returns {@code true} if a record need not be kept.
     *
     * @param record The record.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the member has been missing for very long.
     */
    private static boolean isExpired(MemberRecord record, long nowMillis) {
        return record.fact().isMissing()
                && nowMillis > record.fact().missingMillis() + RETENTION_MILLIS;
    }

    /**
     * Returns the fact of a member.
     *
     * @param key The member's key.
     * @return The fact, or empty if the member is unknown.
     */
    public Optional<MemberFact> fact(MemberKey key) {
        return Optional.ofNullable(records.get(key)).map(MemberRecord::fact);
    }

    /**
     * Returns all records.
     *
     * @return A copy of the records.
     */
    public List<MemberRecord> records() {
        List<MemberRecord> copy = new ArrayList<>();
        records.forEach((key, record) -> copy.add(record));
        return copy;
    }

    /**
     * Returns the digests of a zone's facts, but for failures and missing members.
     *
     * @param zone The availability zone.
     * @return A digest for each bucket, independent of the facts' order.
     */
    public long[] digests(String zone) {
        long[] copy = new long[BUCKET_COUNT];
        AtomicLongArray present = digests.get(zone);
        for (int bucket = 0; present != null && bucket < BUCKET_COUNT; bucket++) {
            copy[bucket] = present.get(bucket);
        }
        return copy;
    }

    /**
     * Returns the facts of some buckets of a zone.
     *
     * @param zone The availability zone.
     * @param buckets The buckets.
     * @return The facts of members that are not missing.
     */
    public List<MemberFact> facts(String zone, Set<Integer> buckets) {
        return records().stream()
                .map(MemberRecord::fact)
                .filter(fact -> isCompared(fact, zone))
                .filter(fact -> buckets.contains(bucketOf(fact.key())))
                .toList();
    }

    /**
     * Returns {@code true} if a fact takes part in comparisons of a zone.
     *
     * @param fact The fact.
     * @param zone The availability zone.
     * @return {@code true} if the member is of the zone and not missing.
     */
    private static boolean isCompared(MemberFact fact, String zone) {
        return !fact.isMissing() && fact.description().zone().equals(zone);
    }

    /**
     * Returns the bucket of a member.
     *
     * @param key The member's key.
     * @return The bucket.
     */
    private static int bucketOf(MemberKey key) {
        return (int) (hash(key.isInstance() + key.name()) & (BUCKET_COUNT - 1));
    }

    /**
     * Returns a hash of a fact, but for its failures.
     *
     * @param fact The fact.
     * @return The hash.
     */
    private static long hash(MemberFact fact) {
        return hash(fact.description() + "/" + fact.leaving());
    }

    /**
     * Returns a hash of a text, the same in every process.
     *
     * @param text The text.
     * @return The hash.
     */
    private static long hash(String text) {
        return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }

    /**
     * Changes a record.
     *
     * @param key The member's key.
     * @param operator Computes the new record, or empty to drop it.
     * @return What changed.
     */
    private Change updateRecord(MemberKey key, UnaryOperator<Optional<MemberRecord>> operator) {
        Change[] change = {Change.NONE};
        records.compute(
                key,
                present -> {
                    Optional<MemberRecord> before = Optional.ofNullable(present);
                    Optional<MemberRecord> after = operator.apply(before);
                    change[0] = new Change(before, after);
                    return after.orElse(null);
                });
        removedFact(change[0]).ifPresent(fact -> addToDigest(fact, -hash(fact)));
        addedFact(change[0]).ifPresent(fact -> addToDigest(fact, hash(fact)));
        return change[0];
    }

    /**
     * Returns the fact whose hash a change takes out of the digests.
     *
     * @param change The change.
     * @return The fact before, or empty if it stays as it is or was not compared.
     */
    private static Optional<MemberFact> removedFact(Change change) {
        return change.isEquivalent() ? Optional.empty() : comparedFact(change.before());
    }

    /**
     * Returns the fact whose hash a change puts into the digests.
     *
     * @param change The change.
     * @return The fact after, or empty if it stays as it was or is not compared.
     */
    private static Optional<MemberFact> addedFact(Change change) {
        return change.isEquivalent() ? Optional.empty() : comparedFact(change.after());
    }

    /**
     * Returns the fact of a record if it is compared.
     *
     * @param held The record, or empty.
     * @return The fact, or empty if there is none or its member is missing.
     */
    private static Optional<MemberFact> comparedFact(Optional<MemberRecord> held) {
        return held.map(MemberRecord::fact).filter(fact -> !fact.isMissing());
    }

    /**
     * Adds to the digest of a fact's zone and bucket.
     *
     * @param fact The fact.
     * @param delta What is added.
     */
    private void addToDigest(MemberFact fact, long delta) {
        digests.compute(
                fact.description().zone(),
                present -> {
                    AtomicLongArray sums =
                            present == null ? new AtomicLongArray(BUCKET_COUNT) : present;
                    sums.addAndGet(bucketOf(fact.key()), delta);
                    return sums;
                });
    }

    /**
     * Holds a record before and after a change.
     *
     * @param before The record before, or empty if there was none.
     * @param after The record after, or empty if there is none.
     */
    public record Change(Optional<MemberRecord> before, Optional<MemberRecord> after) {

        /** The change of nothing. */
        public static final Change NONE = new Change(Optional.empty(), Optional.empty());

        /**
         * Returns {@code true} if the fact that is compared with others stays the same.
         *
         * @return {@code true} if nothing but times changed.
         */
        boolean isEquivalent() {
            Optional<MemberFact> older = before.map(MemberRecord::fact);
            Optional<MemberFact> newer = after.map(MemberRecord::fact);
            return older.isPresent() == newer.isPresent()
                    && older.filter(fact -> !fact.isEquivalentTo(newer.orElse(fact))).isEmpty();
        }

        /**
         * Returns {@code true} if others should hear of this change.
         *
         * @param nowMillis The present time in milliseconds.
         * @return {@code true} if the run, its leaving or its listing changed, or if it began to
         *     fail.
         */
        public boolean isSignificant(long nowMillis) {
            if (before.isEmpty() || after.isEmpty()) {
                return after.isPresent();
            }
            MemberFact older = before.get().fact();
            MemberFact newer = after.get().fact();
            boolean fails =
                    newer.failureMillis() > older.failureMillis()
                            && before.get().state(nowMillis) == EndpointState.LIVE;
            return fails || !newer.isEquivalentTo(older);
        }
    }
}
