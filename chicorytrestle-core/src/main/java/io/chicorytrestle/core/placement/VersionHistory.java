package io.chicorytrestle.core.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Collects which versions of each service's software were listed in a period, from the changes of
 * the entries in that period. An entry that a change replaces or removes may have named an endpoint
 * of another version; unless the changes show which, its version and its service are unknown. It is
 * confined to one thread.
 */
public final class VersionHistory {

    /**
     * The longest time in milliseconds by which the clocks of an endpoint and of this instance
     * differ.
     */
    private static final long MAXIMUM_SKEW_MILLIS = 5_000;

    /** The latest start of an endpoint that surely ran at the start of the period. */
    private final long knownStartMillis;

    /** The earliest start of an endpoint that surely did not run at the start of the period. */
    private final long newStartMillis;

    /** Whether no entry was listed at the start of the period. */
    private final boolean isWhole;

    /** The versions by service, with a blank one for an unknown version. */
    private final Map<String, Set<String>> versions = new HashMap<>();

    /** The identifiers that were seen. */
    private final Set<String> seen = new HashSet<>();

    /** The identifiers whose entries at the start of the period are unknown. */
    private final Set<String> unknown = new HashSet<>();

    /** Whether changes of the period are missing. */
    private boolean isIncomplete;

    /**
     * Creates a history without changes.
     *
     * @param startEpochMillis The start of the period in milliseconds since the epoch.
     * @param isWhole Whether no entry was listed before the first change.
     */
    public VersionHistory(long startEpochMillis, boolean isWhole) {
        knownStartMillis = startEpochMillis - MAXIMUM_SKEW_MILLIS;
        newStartMillis = startEpochMillis + MAXIMUM_SKEW_MILLIS;
        this.isWhole = isWhole;
    }

    /**
     * Records that an entry was written, after all earlier changes.
     *
     * @param endpoint The endpoint that it names.
     * @param isCreated Whether no entry of that identifier was listed immediately before.
     */
    public void recordWritten(ServingEndpoint endpoint, boolean isCreated) {
        recordChanged(endpoint.id(), isCreated);
        versions.computeIfAbsent(endpoint.service(), ignored -> new HashSet<>())
                .add(endpoint.version());
        boolean isSameSinceStart =
                endpoint.startMillis() > 0 && endpoint.startMillis() <= knownStartMillis;
        if (isSameSinceStart) {
            unknown.remove(endpoint.id());
        }
    }

    /**
     * Records that an entry was removed or names no endpoint any more, after all earlier changes.
     *
     * @param id The identifier.
     * @param isCreated Whether no entry of that identifier was listed immediately before.
     */
    public void recordChanged(String id, boolean isCreated) {
        if (seen.add(id) && !isCreated && !isWhole) {
            unknown.add(id);
        }
    }

    /**
     * Records the endpoints that were listed at the end of the period, after all changes. One that
     * started within the period without a change shows that changes are missing.
     *
     * @param listed The endpoints.
     */
    public void recordListed(Collection<ServingEndpoint> listed) {
        isIncomplete |=
                listed.stream()
                        .anyMatch(
                                endpoint ->
                                        endpoint.startMillis() >= newStartMillis
                                                && !seen.contains(endpoint.id()));
    }

    /**
     * Returns {@code true} if changes of the period are missing.
     *
     * @return {@code true} if the store discarded them sooner than it states.
     */
    boolean isIncomplete() {
        return isIncomplete;
    }

    /**
     * Returns {@code true} if an endpoint of an unknown version and service may have been listed.
     *
     * @return {@code true} if a change replaced or removed an entry that is not known.
     */
    boolean hasUnknown() {
        return !unknown.isEmpty();
    }

    /**
     * Returns the versions that were written.
     *
     * @return The versions by service, with a blank one for an unknown version.
     */
    Map<String, Set<String>> versions() {
        return versions;
    }
}
