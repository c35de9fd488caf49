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

/**
 * Holds the records of all members, and digests of their facts by which two instances find the
 * facts that they hold differently. This class is thread-safe.
 */
public final class MemberDirectory {

    /**
     * The number of buckets into which a zone's facts are divided for comparison, a power of two.
     */
    public static final int BUCKET_COUNT = 16;

    /**
     * The largest fraction of members that may be marked as missing at once; beyond it, the list is
     * assumed to be incomplete.
     */
    private static final double MAXIMUM_MISSING_FRACTION = 0.5;

    /**
     * The time for which a run must be absent from the list before it is marked as missing, in
     * milliseconds.
     */
    private static final long MISSING_AFTER_MILLIS = 8_000;

    /** The time for which the record of a missing member is kept, in milliseconds. */
    private static final long RETENTION_MILLIS = 600_000;

    /** The maximum number of members; facts of further ones are ignored. */
    private static final int MAXIMUM_MEMBERS = 20_000;

    /** The records by member. */
    private final ShardedMap<MemberKey, MemberRecord> records = ShardedMap.make();

    /** The digests by zone and bucket, each the sum of the hashes of the bucket's facts. */
    private final ShardedMap<String, AtomicLongArray> digests = ShardedMap.make();

    /**
     * Merges a fact into the member's record, which is created if there is none.
     *
     * @param fact The fact.
     * @param nowMillis The present time in milliseconds.
     * @return The record before and after.
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
     * Updates the record of a member if there is one.
     *
     * @param key The member's key.
     * @param operator Computes the new record.
     * @return The record before and after.
     */
    public Change update(MemberKey key, UnaryOperator<MemberRecord> operator) {
        return updateRecord(key, present -> present.map(operator));
    }

    /**
     * Merges a list that this instance read from the platform, and marks the members that are
     * absent from it for too long as missing.
     *
     * @param list The facts of the listed members.
     * @param nowMillis The present time in milliseconds.
     * @return The facts whose changes are significant to others.
     */
    public List<MemberFact> mergeList(List<MemberFact> list, long nowMillis) {
        Set<MemberKey> listed = new HashSet<>();
        List<MemberFact> changed = new ArrayList<>();
        for (MemberFact fact : list) {
            listed.add(fact.key());
            boolean isSignificant = merge(fact, nowMillis).isSignificant(nowMillis);
            Change listing = update(fact.key(), record -> withListing(record, fact, nowMillis));
            if (isSignificant || listing.isSignificant(nowMillis)) {
                fact(fact.key()).ifPresent(changed::add);
            }
        }
        changed.addAll(mergeMissing(listed, nowMillis));
        return changed;
    }

    /**
     * Marks the members that have been absent from the list for {@link #MISSING_AFTER_MILLIS} as
     * missing. If they are more than half of the members at once, the list is assumed to be
     * incomplete and none is marked.
     *
     * @param listed The keys of the members on the list.
     * @param nowMillis The present time in milliseconds.
     * @return The facts whose changes are significant to others.
     */
    private List<MemberFact> mergeMissing(Set<MemberKey> listed, long nowMillis) {
        List<MemberKey> missing = new ArrayList<>();
        for (MemberRecord record : records()) {
            boolean isAbsent = !listed.contains(record.fact().key());
            boolean isOverdue = nowMillis > record.locallyListedMillis() + MISSING_AFTER_MILLIS;
            if (isAbsent && isOverdue && !record.fact().isMissing()) {
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
     * Updates a record whose member is on the list.
     *
     * @param record The record.
     * @param fact The listed fact.
     * @param nowMillis The present time in milliseconds.
     * @return The record, with a later time of listing only if the same run is listed.
     */
    private static MemberRecord withListing(MemberRecord record, MemberFact fact, long nowMillis) {
        boolean isSameRun =
                record.fact().description().incarnation() == fact.description().incarnation();
        return isSameRun ? record.withLocalListing(nowMillis) : record;
    }

    /**
     * Removes the records of members that have been missing for {@link #RETENTION_MILLIS}.
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
     * Returns {@code true} if a record may be removed.
     *
     * @param record The record.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the member has been missing for longer than the retention time.
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
     * @return A snapshot of the records, taken one shard after the other.
     */
    public List<MemberRecord> records() {
        List<MemberRecord> copy = new ArrayList<>();
        records.forEach((key, record) -> copy.add(record));
        return copy;
    }

    /**
     * Returns the digests of a zone's facts. They don't cover times of failures nor missing
     * members.
     *
     * @param zone The availability zone.
     * @return A digest for each bucket, which doesn't depend on the order of the facts.
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
     * @param buckets The indexes of the buckets.
     * @return The facts of the buckets' members that are not missing.
     */
    public List<MemberFact> facts(String zone, Set<Integer> buckets) {
        return records().stream()
                .map(MemberRecord::fact)
                .filter(fact -> isCompared(fact, zone))
                .filter(fact -> buckets.contains(bucketOf(fact.key())))
                .toList();
    }

    /**
     * Returns {@code true} if a fact is covered by a zone's digests.
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
     * @return The index of the bucket, the same in every process.
     */
    private static int bucketOf(MemberKey key) {
        return (int) (hash(key.isInstance() + key.name()) & (BUCKET_COUNT - 1));
    }

    /**
     * Returns a hash of a fact without its times. It covers the string form of the description, so
     * that renaming a component of {@link MemberDescription} makes the digests of old and new
     * instances differ.
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
     * Updates a record and the digests.
     *
     * @param key The member's key.
     * @param operator Computes the new record, or empty to remove it.
     * @return The record before and after.
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
     * Returns the fact whose hash a change subtracts from the digests.
     *
     * @param change The change.
     * @return The fact before, or empty if it stays equivalent or was not covered by the digests.
     */
    private static Optional<MemberFact> removedFact(Change change) {
        return change.isEquivalent() ? Optional.empty() : comparedFact(change.before());
    }

    /**
     * Returns the fact whose hash a change adds to the digests.
     *
     * @param change The change.
     * @return The fact after, or empty if it stays equivalent or is not covered by the digests.
     */
    private static Optional<MemberFact> addedFact(Change change) {
        return change.isEquivalent() ? Optional.empty() : comparedFact(change.after());
    }

    /**
     * Returns the fact of a record if it is covered by the digests.
     *
     * @param record The record, or empty.
     * @return The fact, or empty if there is none or its member is missing.
     */
    private static Optional<MemberFact> comparedFact(Optional<MemberRecord> record) {
        return record.map(MemberRecord::fact).filter(fact -> !fact.isMissing());
    }

    /**
     * Adds a value to the digest of a fact's zone and bucket.
     *
     * @param fact The fact.
     * @param delta The value to add.
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

        /** The change of a member that has no record before or after. */
        public static final Change NONE = new Change(Optional.empty(), Optional.empty());

        /**
         * Returns {@code true} if the digests stay the same.
         *
         * @return {@code true} if the facts before and after are equivalent.
         */
        boolean isEquivalent() {
            Optional<MemberFact> older = before.map(MemberRecord::fact);
            Optional<MemberFact> newer = after.map(MemberRecord::fact);
            return older.isPresent() == newer.isPresent()
                    && older.filter(fact -> !fact.isEquivalentTo(newer.orElse(fact))).isEmpty();
        }

        /**
         * Returns {@code true} if this change should be sent to other instances.
         *
         * @param nowMillis The present time in milliseconds.
         * @return {@code true} if the run, its leaving or its listing changed, or if a live member
         *     failed.
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
