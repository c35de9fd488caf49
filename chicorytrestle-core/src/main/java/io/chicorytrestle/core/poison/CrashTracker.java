package io.chicorytrestle.core.poison;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Quarantines requests that crash several endpoints. Without it, a caller that keeps retrying such
 * a request, at any instance, crashes one endpoint after another. A quarantine ends after a time
 * that doubles with each further crash, so that one execution can disprove it; an execution that
 * completes clears all crashes of a request. This class is not thread-safe: it is confined to one
 * thread.
 */
public final class CrashTracker {

    /**
     * The number of crashed endpoints at which a request is quarantined. An outage may interrupt a
     * harmless request and its one retry.
     */
    private static final int QUARANTINE_THRESHOLD = 3;

    /**
     * The duration of the first quarantine in milliseconds: an endpoint is back after some seconds.
     */
    private static final long INITIAL_QUARANTINE_MILLIS = 60_000;

    /** The maximum number of doublings of the first quarantine, which lead to eight minutes. */
    private static final int MAXIMUM_DOUBLINGS = 3;

    /**
     * The time in milliseconds after the last crash at which the crashes of a request are
     * forgotten.
     */
    private static final long CRASH_RETENTION_MILLIS = 600_000;

    /**
     * The time in milliseconds for which a change is sent to other instances: a few heartbeats to
     * each.
     */
    private static final long NOTICE_PERIOD_MILLIS = 3_000;

    /** The maximum number of notices in one heartbeat, which keeps it below a kilobyte. */
    private static final int MAXIMUM_NOTICES = 8;

    /**
     * The maximum number of recorded requests: as many as are in flight at a few large endpoints.
     */
    private static final int MAXIMUM_ENTRIES = 1_024;

    /** The crashes of requests by fingerprint. */
    private final Map<String, Entry> entries = new HashMap<>();

    /**
     * Returns {@code true} if no request is recorded.
     *
     * @return {@code true} if no request needs to be looked up.
     */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /**
     * Records an endpoint that broke the connection on which it executed a request. A new request
     * is ignored if the tracker is full.
     *
     * @param fingerprint The keyed hash of the request's content and workspace.
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordCrash(String fingerprint, String incarnation, long nowMillis) {
        Entry entry = entries.get(fingerprint);
        if (entry == null) {
            if (entries.size() >= MAXIMUM_ENTRIES) {
                return;
            }
            entry = new Entry();
            entries.put(fingerprint, entry);
        }
        if (entry.incarnations.add(incarnation)) {
            entry.changedMillis = nowMillis;
        }
    }

    /**
     * Records a request that completed, which clears its crashes.
     *
     * @param fingerprint The keyed hash of the request's content and workspace.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordCompletion(String fingerprint, long nowMillis) {
        Entry entry = entries.get(fingerprint);
        if (entry != null && !entry.incarnations.isEmpty()) {
            entry.incarnations.clear();
            entry.changedMillis = nowMillis;
        }
    }

    /**
     * Returns how many endpoints crashed while they executed a request.
     *
     * @param fingerprint The keyed hash of the request's content and workspace.
     * @return The number of different incarnations of endpoints.
     */
    public int crashCount(String fingerprint) {
        Entry entry = entries.get(fingerprint);
        return entry == null ? 0 : entry.incarnations.size();
    }

    /**
     * Returns {@code true} if a request must not be executed now.
     *
     * @param fingerprint The keyed hash of the request's content and workspace.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the request is quarantined.
     */
    public boolean isQuarantined(String fingerprint, long nowMillis) {
        Entry entry = entries.get(fingerprint);
        if (entry == null || entry.incarnations.size() < QUARANTINE_THRESHOLD) {
            return false;
        }
        int doublings =
                Math.min(MAXIMUM_DOUBLINGS, entry.incarnations.size() - QUARANTINE_THRESHOLD);
        return nowMillis - entry.changedMillis < INITIAL_QUARANTINE_MILLIS << doublings;
    }

    /**
     * Returns notices of recent changes, which are sent to other instances.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The notices, those with the most crashes first.
     */
    public List<CrashNotice> recentNotices(long nowMillis) {
        return entries.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue().changedMillis < NOTICE_PERIOD_MILLIS)
                .map(
                        entry ->
                                new CrashNotice(
                                        entry.getKey(), List.copyOf(entry.getValue().incarnations)))
                .sorted(
                        Comparator.comparingInt(
                                        (CrashNotice notice) -> notice.incarnations().size())
                                .reversed())
                .limit(MAXIMUM_NOTICES)
                .toList();
    }

    /**
     * Records a notice from another instance. Crashes of a request that completed lately are
     * ignored, since the notice may be outdated.
     *
     * @param notice The notice, whose crashes are added to those known here.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordNotice(CrashNotice notice, long nowMillis) {
        if (notice.isCleared()) {
            recordCompletion(notice.fingerprint(), nowMillis);
            return;
        }
        Entry entry = entries.get(notice.fingerprint());
        boolean isRecentlyCleared = entry != null && entry.incarnations.isEmpty();
        if (!isRecentlyCleared) {
            for (String incarnation : notice.incarnations()) {
                recordCrash(notice.fingerprint(), incarnation, nowMillis);
            }
        }
    }

    /**
     * Removes crashes that are too old to count, and completions whose notice was sent.
     *
     * @param nowMillis The current time in milliseconds.
     */
    public void removeExpired(long nowMillis) {
        entries.values()
                .removeIf(
                        entry ->
                                nowMillis - entry.changedMillis
                                        > (entry.incarnations.isEmpty()
                                                ? NOTICE_PERIOD_MILLIS
                                                : CRASH_RETENTION_MILLIS));
    }

    /** Holds the crashes of one request. */
    private static final class Entry {

        /**
         * The incarnations of the endpoints that crashed; empty if the request has completed since.
         */
        private final Set<String> incarnations = new LinkedHashSet<>();

        /** The time of the last change in milliseconds. */
        private long changedMillis;
    }
}
