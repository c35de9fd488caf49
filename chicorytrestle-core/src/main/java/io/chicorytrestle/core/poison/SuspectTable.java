package io.chicorytrestle.core.poison;

import io.chicorytrestle.core.blackboard.ShardedMap;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import org.jspecify.annotations.Nullable;

/** Keeps what is held against requests. Several threads may call it. */
final class SuspectTable {

    /** The most requests to keep. */
    private final int maximumSuspects;

    /** The suspicions by fingerprint. */
    private final ShardedMap<Fingerprint, Suspicion> suspicions = ShardedMap.make();

    /** The endpoints' crashes whose cause is known, as suspicions of their cause. */
    private final ShardedMap<String, Suspicion> explainedCrashes = ShardedMap.make();

    /**
     * Creates a new book.
     *
     * @param maximumSuspects The most requests to keep.
     */
    SuspectTable(int maximumSuspects) {
        this.maximumSuspects = maximumSuspects;
    }

    /**
     * Returns what is held against a request.
     *
     * @param fingerprint The request's fingerprint.
     * @param nowMillis The present time in milliseconds.
     * @return The suspicion, or {@code null} if there is none.
     */
    @Nullable Suspicion get(Fingerprint fingerprint, long nowMillis) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion == null || nowMillis >= suspicion.untilMillis() ? null : suspicion;
    }

    /**
     * Notes a finding.
     *
     * @param fingerprint The request's fingerprint.
     * @param suspicion The finding.
     * @return {@code true} if the finding changed what is held against the request.
     */
    boolean record(Fingerprint fingerprint, Suspicion suspicion) {
        return switch (suspicion.finding()) {
            case SUSPECT -> addSuspect(fingerprint, suspicion);
            case CONFIRMED -> confirm(fingerprint, suspicion);
            case CLEARED -> clearSuspect(fingerprint);
        };
    }

    /**
     * Notes a first suspicion, unless the crash has a known cause.
     *
     * @param fingerprint The request's fingerprint.
     * @param suspicion The suspicion.
     * @return {@code true} if the request is newly suspected.
     */
    private boolean addSuspect(Fingerprint fingerprint, Suspicion suspicion) {
        Suspicion cause = explainedCrashes.get(suspicion.endpoint());
        boolean known =
                cause != null && cause.isFromCrash(suspicion.endpoint(), suspicion.incarnation());
        if (known || suspicions.size() >= maximumSuspects) {
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
     * Notes the cause of both its crashes, and clears those that were suspected for them.
     *
     * @param fingerprint The fingerprint of the cause.
     * @param suspicion The suspicion.
     * @return {@code true}.
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
     * Notes that the cause of a crash is known, and clears those that were suspected for it.
     *
     * @param crash A suspicion that names the crash.
     */
    private void recordCause(Suspicion crash) {
        explainedCrashes.compute(crash.endpoint(), present -> crash);
        removeIf(
                (fingerprint, held) ->
                        held.finding() == Suspicion.Finding.SUSPECT
                                && held.isFromCrash(crash.endpoint(), crash.incarnation()));
    }

    /**
     * Clears a request that was only suspected.
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
     * Forgets what is old.
     *
     * @param nowMillis The present time in milliseconds.
     */
    void removeExpired(long nowMillis) {
        removeIf((fingerprint, held) -> nowMillis >= held.untilMillis());
    }

    /**
     * Removes suspicions.
     *
     * @param condition Tells whether to remove a suspicion.
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
