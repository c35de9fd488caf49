package io.chicorytrestle.core.poison;

import io.chicorytrestle.core.blackboard.ShardedMap;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import org.jspecify.annotations.Nullable;

/** Holds the suspected and refused requests. This class is thread-safe. */
final class SuspectTable {

    /** The maximum number of requests to hold. */
    private final int maximumSuspects;

    /** The suspicions by fingerprint of the request. */
    private final ShardedMap<Fingerprint, Suspicion> suspicions = ShardedMap.make();

    /**
     * The last crash of each endpoint whose cause is known, by name of the endpoint, as the
     * suspicion of its cause.
     */
    private final ShardedMap<String, Suspicion> explainedCrashes = ShardedMap.make();

    /**
     * Creates an empty table.
     *
     * @param maximumSuspects The maximum number of requests to hold.
     */
    SuspectTable(int maximumSuspects) {
        this.maximumSuspects = maximumSuspects;
    }

    /**
     * Returns the suspicion against a request.
     *
     * @param fingerprint The request's fingerprint.
     * @param nowMillis The current time in milliseconds.
     * @return The suspicion, or {@code null} if there is none or it has expired.
     */
    @Nullable Suspicion get(Fingerprint fingerprint, long nowMillis) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion == null || nowMillis >= suspicion.untilMillis() ? null : suspicion;
    }

    /**
     * Records a finding.
     *
     * @param fingerprint The request's fingerprint.
     * @param suspicion The finding and the crash that it stems from.
     * @return {@code true} if the finding changed the table.
     */
    boolean record(Fingerprint fingerprint, Suspicion suspicion) {
        return switch (suspicion.finding()) {
            case SUSPECT -> addSuspect(fingerprint, suspicion);
            case CONFIRMED -> confirm(fingerprint, suspicion);
            case CLEARED -> clearSuspect(fingerprint);
        };
    }

    /**
     * Records the first suspicion against a request, unless the crash has a known cause or the
     * table is full.
     *
     * @param fingerprint The request's fingerprint.
     * @param suspicion The suspicion.
     * @return {@code true} if the request was not held before.
     */
    private boolean addSuspect(Fingerprint fingerprint, Suspicion suspicion) {
        Suspicion cause = explainedCrashes.get(suspicion.endpoint());
        boolean isExplained =
                cause != null && cause.isFromCrash(suspicion.endpoint(), suspicion.incarnation());
        if (isExplained || suspicions.size() >= maximumSuspects) {
            return false;
        }
        boolean[] added = new boolean[1];
        suspicions.compute(
                fingerprint,
                present -> {
                    added[0] = present == null;
                    return present == null ? suspicion : present;
                });
        return added[0];
    }

    /**
     * Records a request as the cause of both of its crashes, and clears the other requests that
     * were suspected for them.
     *
     * @param fingerprint The fingerprint of the cause.
     * @param suspicion The suspicion.
     * @return Always {@code true}, since a confirmed finding is always published.
     */
    private boolean confirm(Fingerprint fingerprint, Suspicion suspicion) {
        Suspicion first = suspicions.get(fingerprint);
        suspicions.compute(fingerprint, present -> suspicion);
        recordCause(suspicion);
        if (first != null) {
            recordCause(first);
        }
        return true;
    }

    /**
     * Records that the cause of a crash is known, and clears the requests that were suspected for
     * it.
     *
     * @param crash A suspicion that stems from the crash.
     */
    private void recordCause(Suspicion crash) {
        explainedCrashes.compute(crash.endpoint(), present -> crash);
        removeIf(
                (fingerprint, held) ->
                        held.finding() == Suspicion.Finding.SUSPECT
                                && held.isFromCrash(crash.endpoint(), crash.incarnation()));
    }

    /**
     * Clears a request that is suspected. A confirmed request stays refused.
     *
     * @param fingerprint The request's fingerprint.
     * @return {@code true} if the request was suspected.
     */
    private boolean clearSuspect(Fingerprint fingerprint) {
        boolean[] cleared = new boolean[1];
        suspicions.compute(
                fingerprint,
                present -> {
                    cleared[0] = present != null && present.finding() == Suspicion.Finding.SUSPECT;
                    return cleared[0] ? null : present;
                });
        return cleared[0];
    }

    /**
     * Removes suspicions that have expired.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void removeExpired(long nowMillis) {
        removeIf((fingerprint, held) -> nowMillis >= held.untilMillis());
    }

    /**
     * Removes the suspicions that match a condition. The condition is tested again before each
     * removal, since other threads may have replaced the suspicion.
     *
     * @param condition The condition.
     */
    private void removeIf(BiPredicate<Fingerprint, Suspicion> condition) {
        List<Fingerprint> removed = new ArrayList<>();
        suspicions.forEach(
                (fingerprint, held) -> {
                    if (condition.test(fingerprint, held)) {
                        removed.add(fingerprint);
                    }
                });
        for (Fingerprint fingerprint : removed) {
            suspicions.compute(
                    fingerprint,
                    present ->
                            present != null && condition.test(fingerprint, present)
                                    ? null
                                    : present);
        }
    }
}
