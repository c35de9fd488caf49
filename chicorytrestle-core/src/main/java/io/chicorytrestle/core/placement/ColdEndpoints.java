package io.chicorytrestle.core.placement;

import io.chicorytrestle.core.fleet.StorePosition;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates until when each endpoint is cold, rather too late than too early. Times are counted on
 * the clock of this instance from when a report was received, since the clocks of instances differ.
 * Reports are ordered by the store's position, so that a late one changes nothing. This class is
 * not thread-safe: it is confined to one thread.
 */
public final class ColdEndpoints {

    /**
     * The time in milliseconds after which an incarnation is forgotten that is listed no more, far
     * longer than an entry lapses for.
     */
    private static final long MEMORY_MILLIS = 600_000;

    /** What is known of each incarnation. */
    private final Map<String, State> states = new HashMap<>();

    /**
     * Records that an incarnation is listed.
     *
     * @param incarnation The incarnation.
     * @param isInitial Whether it belongs to the first list that this instance received, so that
     *     its start may be long past.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordListed(String incarnation, boolean isInitial, long nowMillis) {
        State state = state(incarnation, nowMillis);
        if (!state.isListed) {
            state.isListed = true;
            state.isInitial = isInitial;
            state.listedMillis = nowMillis;
        }
    }

    /**
     * Records what an entry states, unless a newer entry is known.
     *
     * @param report The report.
     * @param nowMillis The current time in milliseconds.
     */
    public void record(ColdReport report, long nowMillis) {
        State state = state(report.incarnation(), nowMillis);
        if (!state.isReported || report.position().isAfter(state.position)) {
            state.isReported = true;
            state.position = report.position();
            state.reportedUntilMillis = nowMillis + report.leftMillis();
        }
    }

    /**
     * Returns what is known of an incarnation, which is created at the first call.
     *
     * @param incarnation The incarnation.
     * @param nowMillis The current time in milliseconds.
     * @return What is known of it.
     */
    private State state(String incarnation, long nowMillis) {
        return states.computeIfAbsent(incarnation, ignored -> new State(nowMillis));
    }

    /**
     * Returns until when an incarnation is cold at the latest.
     *
     * @param incarnation The incarnation.
     * @param warmUpMillis The time in milliseconds for which an endpoint of its service is cold
     *     after its start.
     * @return The time in milliseconds, in the past for a warm endpoint, and the largest number for
     *     an incarnation that was never listed.
     */
    public long coldUntilMillis(String incarnation, long warmUpMillis) {
        State state = states.get(incarnation);
        if (state == null) {
            return Long.MAX_VALUE;
        }
        if (state.isReported && (state.isInitial || !state.isListed)) {
            return state.reportedUntilMillis;
        }
        long startedUntilMillis = state.listedMillis + warmUpMillis;
        return state.isReported
                ? Math.max(state.reportedUntilMillis, startedUntilMillis)
                : startedUntilMillis;
    }

    /**
     * Returns why an incarnation is cold.
     *
     * @param incarnation The incarnation.
     * @param nowMillis The current time in milliseconds.
     * @return The strongest evidence.
     */
    public Evidence evidence(String incarnation, long nowMillis) {
        State state = states.get(incarnation);
        if (state == null) {
            return Evidence.UNKNOWN;
        }
        if (state.isReported && state.reportedUntilMillis > nowMillis) {
            return Evidence.ENTRY;
        }
        return state.isInitial && !state.isReported ? Evidence.UNKNOWN : Evidence.FIRST_SIGHT;
    }

    /**
     * Returns the reports for other instances.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The newest report of each incarnation, with the time that is left now.
     */
    public List<ColdReport> reports(long nowMillis) {
        List<ColdReport> reports = new ArrayList<>();
        states.forEach(
                (incarnation, state) -> {
                    if (state.isReported) {
                        reports.add(
                                new ColdReport(
                                        incarnation,
                                        state.position,
                                        Math.max(0, state.reportedUntilMillis - nowMillis)));
                    }
                });
        return reports;
    }

    /**
     * Forgets incarnations that are listed no more.
     *
     * @param listed The endpoints that are listed.
     * @param nowMillis The current time in milliseconds.
     */
    public void removeExpired(Collection<ServingEndpoint> listed, long nowMillis) {
        for (ServingEndpoint endpoint : listed) {
            State state = states.get(endpoint.incarnation());
            if (state != null) {
                state.lastSeenMillis = nowMillis;
            }
        }
        states.values().removeIf(state -> nowMillis - state.lastSeenMillis >= MEMORY_MILLIS);
    }

    /** Enumerates why an endpoint counts as cold. */
    public enum Evidence {

        /** Its entry states it. */
        ENTRY,

        /** It appeared among endpoints that were already listed. */
        FIRST_SIGHT,

        /** Nothing states that it is warm. */
        UNKNOWN
    }

    /** Holds what is known of an incarnation. */
    private static final class State {

        /** The time in milliseconds at which it was last listed. */
        private long lastSeenMillis;

        /** Whether it was ever listed. */
        private boolean isListed;

        /** Whether it belonged to the first list. */
        private boolean isInitial;

        /** The time in milliseconds at which it was first listed. */
        private long listedMillis;

        /** Whether its entry stated for how long it is cold. */
        private boolean isReported;

        /** The store's position of that entry. */
        private StorePosition position = StorePosition.UNKNOWN;

        /** The time in milliseconds until which it is cold by that entry. */
        private long reportedUntilMillis;

        /**
         * Creates a state in which nothing is known.
         *
         * @param nowMillis The current time in milliseconds.
         */
        private State(long nowMillis) {
            lastSeenMillis = nowMillis;
        }
    }
}
