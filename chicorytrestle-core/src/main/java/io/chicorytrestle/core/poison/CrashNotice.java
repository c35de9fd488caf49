package io.chicorytrestle.core.poison;

import java.util.List;

/**
 * Reports the endpoints that crashed while they executed a request.
 *
 * @param fingerprint The keyed hash of the request's content and workspace.
 * @param incarnations The incarnations of the endpoints; empty if the request has completed since.
 */
public record CrashNotice(String fingerprint, List<String> incarnations) {

    /** Copies the incarnations, so that the record is immutable. */
    public CrashNotice {
        incarnations = List.copyOf(incarnations);
    }

    /**
     * Returns {@code true} if the request has completed since its last crash.
     *
     * @return {@code true} if the notice names no incarnation.
     */
    boolean isCleared() {
        return incarnations.isEmpty();
    }
}
