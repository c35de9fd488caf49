package io.chicorytrestle.core.poison;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reports the endpoints that crashed while they executed a request, and those whose crashes no
 * longer count since the request succeeded later. Naming both makes a notice that arrives late,
 * twice or out of order harmless.
 *
 * @param fingerprint The keyed hash of the request's content and workspace.
 * @param crashAgesMillis The time in milliseconds since each crash that counts, at least zero, by
 *     incarnation of the endpoint.
 * @param disproved The incarnations of endpoints whose crashes do not count. If there are none and
 *     no crashes either, as in notices of earlier versions, no crash known to the receiver counts.
 */
public record CrashNotice(
        String fingerprint, Map<String, Long> crashAgesMillis, List<String> disproved) {

    /** Copies the collections and rejects a negative age. */
    public CrashNotice {
        crashAgesMillis = Map.copyOf(crashAgesMillis);
        disproved = List.copyOf(disproved);
        for (long ageMillis : crashAgesMillis.values()) {
            if (ageMillis < 0) {
                throw new IllegalArgumentException("Age of a crash is negative: " + ageMillis);
            }
        }
    }

    /**
     * Creates a notice that tells neither ages nor disproved crashes, as those of earlier versions.
     *
     * @param fingerprint The keyed hash of the request's content and workspace.
     * @param incarnations The incarnations of the endpoints that crashed just now; empty if the
     *     request has completed since.
     */
    public CrashNotice(String fingerprint, Collection<String> incarnations) {
        this(fingerprint, withoutAges(incarnations), List.of());
    }

    /**
     * Assigns the age zero to crashes.
     *
     * @param incarnations The incarnations of the endpoints.
     * @return The ages by incarnation.
     */
    private static Map<String, Long> withoutAges(Collection<String> incarnations) {
        Map<String, Long> ages = new HashMap<>();
        incarnations.forEach(incarnation -> ages.put(incarnation, 0L));
        return ages;
    }

    /**
     * Returns {@code true} if the notice states, without naming them, that no crashes count.
     *
     * @return {@code true} if the notice names no incarnation.
     */
    boolean isCleared() {
        return crashAgesMillis.isEmpty() && disproved.isEmpty();
    }
}
