package io.chicorytrestle.core.poison;

import java.util.List;

/**
 * Tells under which endpoints a request was when they crashed.
 *
 * @param fingerprint The hash of the request's content and workspace.
 * @param incarnations The incarnations of the endpoints; none if the request ran whole since.
 */
public record CrashNotice(String fingerprint, List<String> incarnations) {

    /** Copies the incarnations. */
    public CrashNotice {
        incarnations = List.copyOf(incarnations);
    }

    /**
     * Returns {@code true} if the request ran whole.
     *
     * @return {@code true} if the request ran whole.
     */
    boolean isCleared() {
        return incarnations.isEmpty();
    }
}
