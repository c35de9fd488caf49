package io.chicorytrestle.core.poison;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Quarantines requests under which one endpoint after the other crashes. It answers a caller that
 * sends a request again and again, at any instance, although each endpoint that runs it crashes. A
 * quarantine ends after a time that doubles with each further crash, so that one run can prove it
 * wrong; a whole run takes back all that was held against a request. It is confined to one thread.
 */
public final class CrashTracker {

    /**
     * The crashes of different endpoints after which a request is quarantined. An outage may break
     * a sound request and the one repetition of it.
     */
    private static final int QUARANTINE_THRESHOLD = 3;

    /** The time of the first quarantine in milliseconds: an endpoint is back after some seconds. */
    private static final long INITIAL_QUARANTINE_MILLIS = 60_000;

    /** The most doublings of the first quarantine, which lead to eight minutes. */
    private static final int MAXIMUM_DOUBLINGS = 3;

    /** The time in milliseconds for which a crash is held against a request. */
    private static final long CRASH_RETENTION_MILLIS = 600_000;

    /** The time in milliseconds for which a change is told: a few beats to each instance. */
    private static final long NOTICE_PERIOD_MILLIS = 3_000;

    /** The most changes that are told at once, so that a beat stays below a kilobyte. */
    private static final int MAXIMUM_NOTICES = 8;

    /** The most requests that are kept: those under way at a few large endpoints. */
    private static final int MAXIMUM_ENTRIES = 1_024;

    /** What is held against requests by the hash of their content. */
    private final Map<String, Entry> entries = new HashMap<>();

    /**
     * Returns {@code true} if nothing is held against any request.
     *
     * @return {@code true} if no request needs to be looked up.
     */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /**
     * Takes note of an endpoint that broke the connection on which it ran a request.
     *
     * @param fingerprint The hash of the request's content and workspace.
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The present time in milliseconds.
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
     * Takes note of a request that ran whole.
     *
     * @param fingerprint The hash of the request's content and workspace.
     * @param nowMillis The present time in milliseconds.
     */
    public void recordCompletion(String fingerprint, long nowMillis) {
        Entry entry = entries.get(fingerprint);
        if (entry != null && !entry.incarnations.isEmpty()) {
            entry.incarnations.clear();
            entry.changedMillis = nowMillis;
        }
    }

    /**
     * Returns the endpoints that crashed under a request.
     *
     * @param fingerprint The hash of the request's content and workspace.
     * @return The number of different incarnations.
     */
    public int crashCount(String fingerprint) {
        Entry entry = entries.get(fingerprint);
        return entry == null ? 0 : entry.incarnations.size();
    }

    /**
     * Returns {@code true} if a request must not run now.
     *
     * @param fingerprint The hash of the request's content and workspace.
     * @param nowMillis The present time in milliseconds.
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
     * Returns what changed lately, for other instances.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The changes, those against which most is held first.
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
     * Takes what another instance told.
     *
     * @param notice The notice.
     * @param nowMillis The present time in milliseconds.
     */
    public void recordNotice(CrashNotice notice, long nowMillis) {
        if (notice.isCleared()) {
            recordCompletion(notice.fingerprint(), nowMillis);
            return;
        }
        Entry entry = entries.get(notice.fingerprint());
        boolean isClearedLately = entry != null && entry.incarnations.isEmpty();
        if (!isClearedLately) {
            for (String incarnation : notice.incarnations()) {
                recordCrash(notice.fingerprint(), incarnation, nowMillis);
            }
        }
    }

    /**
     * Forgets what is old.
     *
     * @param nowMillis The present time in milliseconds.
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

    /** Holds what is known of one request. */
    private static final class Entry {

        /** The incarnations of the endpoints that crashed; none if the request ran whole since. */
        private final Set<String> incarnations = new LinkedHashSet<>();

        /** The time of the last change in milliseconds. */
        private long changedMillis;
    }
}
