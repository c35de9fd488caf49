package io.chicorytrestle.core.poison;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Quarantines requests that crash several endpoints. Without it, a caller that keeps retrying such
 * a request, at any instance, crashes one endpoint after another. A quarantine ends after a time
 * that doubles with each further crash, so that one execution can disprove it; a success disproves
 * all crashes of a request that are known where it succeeded or happened before.
 *
 * <p>Crashes and disproved crashes are sets that only grow, each named by the incarnation of the
 * endpoint, which crashes once. So the order, the delay and the number of notices make no
 * difference. This class is not thread-safe: it is confined to one thread.
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

    /** The maximum number of notices in one heartbeat. */
    private static final int MAXIMUM_NOTICES = 8;

    /** The maximum number of records sent to a starting instance, a few kilobytes. */
    private static final int MAXIMUM_RECORDS = 32;

    /**
     * The maximum number of recorded requests: as many as are in flight at a few large endpoints.
     */
    private static final int MAXIMUM_ENTRIES = 1_024;

    /**
     * The maximum number of crashes, and of disproved crashes, recorded for a request; more than
     * those that lengthen its quarantine. The latest ones are kept.
     */
    private static final int MAXIMUM_CRASHES = 32;

    /**
     * The number of crashes and disproved crashes after which a message holds no further notice, so
     * that it stays at a few kilobytes.
     */
    private static final int MAXIMUM_CRASHES_IN_MESSAGE = 64;

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
        Entry entry = entryOf(fingerprint);
        if (entry != null && entry.addCrash(incarnation, nowMillis)) {
            entry.changedMillis = nowMillis;
        }
    }

    /**
     * Returns the entry of a request, which is created if the tracker is not full.
     *
     * @param fingerprint The keyed hash of the request's content and workspace.
     * @return The entry, or {@code null} if the tracker is full.
     */
    private @Nullable Entry entryOf(String fingerprint) {
        Entry entry = entries.get(fingerprint);
        if (entry == null && entries.size() < MAXIMUM_ENTRIES) {
            entry = new Entry();
            entries.put(fingerprint, entry);
        }
        return entry;
    }

    /**
     * Records a request that succeeded, which disproves its crashes so far. Crashes before it of
     * which notices come later are disproved, too.
     *
     * @param fingerprint The keyed hash of the request's content and workspace.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordCompletion(String fingerprint, long nowMillis) {
        Entry entry = entries.get(fingerprint);
        if (entry != null) {
            entry.completedMillis = nowMillis;
            entry.disproveAll(nowMillis);
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
        return entry == null ? 0 : entry.crashMillis.size();
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
        if (entry == null || entry.crashMillis.size() < QUARANTINE_THRESHOLD) {
            return false;
        }
        int doublings =
                Math.min(MAXIMUM_DOUBLINGS, entry.crashMillis.size() - QUARANTINE_THRESHOLD);
        return nowMillis - entry.lastCrashMillis() < INITIAL_QUARANTINE_MILLIS << doublings;
    }

    /**
     * Returns notices of recent changes, which are sent to other instances.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The notices, those with the most crashes first.
     */
    public List<CrashNotice> recentNotices(long nowMillis) {
        return notices(
                entry -> nowMillis - entry.changedMillis < NOTICE_PERIOD_MILLIS,
                MAXIMUM_NOTICES,
                nowMillis);
    }

    /**
     * Returns what another instance that has missed notices, such as one that starts, must know.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The notices, those with the most crashes first.
     */
    public List<CrashNotice> records(long nowMillis) {
        return notices(entry -> true, MAXIMUM_RECORDS, nowMillis);
    }

    /**
     * Returns notices of some requests.
     *
     * @param condition Whether a request is reported.
     * @param maximum The maximum number of notices.
     * @param nowMillis The current time in milliseconds.
     * @return The notices, those with the most crashes first.
     */
    private List<CrashNotice> notices(Predicate<Entry> condition, int maximum, long nowMillis) {
        List<Map.Entry<String, Entry>> reported =
                entries.entrySet().stream()
                        .filter(entry -> condition.test(entry.getValue()))
                        .sorted(
                                Comparator.comparingInt(
                                                (Map.Entry<String, Entry> entry) ->
                                                        entry.getValue().crashMillis.size())
                                        .reversed())
                        .limit(maximum)
                        .toList();
        List<CrashNotice> notices = new ArrayList<>();
        int crashes = 0;
        for (Map.Entry<String, Entry> entry : reported) {
            if (crashes < MAXIMUM_CRASHES_IN_MESSAGE) {
                notices.add(entry.getValue().toNotice(entry.getKey(), nowMillis));
                crashes += entry.getValue().size();
            }
        }
        return notices;
    }

    /**
     * Records a notice from another instance. A crash that was disproved here or there does not
     * count.
     *
     * @param notice The notice, whose crashes are added to those known here.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordNotice(CrashNotice notice, long nowMillis) {
        boolean isNew = record(notice, nowMillis);
        Entry entry = entries.get(notice.fingerprint());
        if (isNew && entry != null) {
            entry.changedMillis = nowMillis;
        }
    }

    /**
     * Records what another instance knows about a request, without telling others: they have the
     * same from each other.
     *
     * @param known The crashes, which are added to those known here.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordKnown(CrashNotice known, long nowMillis) {
        record(known, nowMillis);
    }

    /**
     * Adds the crashes and disproved crashes of a notice to those known here.
     *
     * @param notice The notice.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if something was new.
     */
    private boolean record(CrashNotice notice, long nowMillis) {
        if (notice.isCleared()) {
            Entry entry = entries.get(notice.fingerprint());
            return entry != null && entry.disproveAll(nowMillis);
        }
        Entry entry = entryOf(notice.fingerprint());
        if (entry == null) {
            return false;
        }
        // Instances may keep different ones of too many, and would tell each other without end.
        boolean hasRoomForDisproof = entry.disprovedMillis.size() < MAXIMUM_CRASHES;
        boolean hasRoomForCrash = entry.crashMillis.size() < MAXIMUM_CRASHES;
        boolean isNew = false;
        for (String incarnation : notice.disproved()) {
            isNew |= entry.disprove(incarnation, nowMillis) && hasRoomForDisproof;
        }
        for (Map.Entry<String, Long> crash : notice.crashAgesMillis().entrySet()) {
            // The time on the way is unknown, so that this is no earlier than the crash.
            long millis = nowMillis - crash.getValue();
            isNew |= entry.addCrash(crash.getKey(), millis) && hasRoomForCrash;
        }
        return isNew;
    }

    /**
     * Removes crashes that are too old to count.
     *
     * @param nowMillis The current time in milliseconds.
     */
    public void removeExpired(long nowMillis) {
        entries.values().removeIf(entry -> entry.removeExpired(nowMillis));
    }

    /** Holds the crashes of one request. */
    private static final class Entry {

        /** The times of the crashes that count in milliseconds, by incarnation of the endpoint. */
        private final Map<String, Long> crashMillis = new HashMap<>();

        /** The times in milliseconds at which crashes were disproved, by incarnation. */
        private final Map<String, Long> disprovedMillis = new HashMap<>();

        /** The time in milliseconds of the last success at this instance. */
        private long completedMillis = Long.MIN_VALUE;

        /** The time in milliseconds of the last change that others are told. */
        private long changedMillis = Long.MIN_VALUE / 2;

        /**
         * Adds a crash, unless it was disproved, or happened before a success at this instance.
         *
         * @param incarnation The incarnation of the endpoint.
         * @param millis The time of the crash in milliseconds.
         * @return {@code true} if it was unknown.
         */
        private boolean addCrash(String incarnation, long millis) {
            if (disprovedMillis.containsKey(incarnation)) {
                return false;
            }
            if (millis < completedMillis) {
                return disprove(incarnation, completedMillis);
            }
            Long knownMillis = crashMillis.get(incarnation);
            if (knownMillis != null) {
                crashMillis.put(incarnation, Math.min(knownMillis, millis));
                return false;
            }
            return putAndKeepLatest(crashMillis, incarnation, millis);
        }

        /**
         * Disproves a crash, also one that is not known yet.
         *
         * @param incarnation The incarnation of the endpoint.
         * @param millis The current time in milliseconds.
         * @return {@code true} if it was not disproved before.
         */
        private boolean disprove(String incarnation, long millis) {
            crashMillis.remove(incarnation);
            return !disprovedMillis.containsKey(incarnation)
                    && putAndKeepLatest(disprovedMillis, incarnation, millis);
        }

        /**
         * Disproves all known crashes.
         *
         * @param millis The current time in milliseconds.
         * @return {@code true} if there were any.
         */
        private boolean disproveAll(long millis) {
            boolean isChanged = !crashMillis.isEmpty();
            if (isChanged) {
                new ArrayList<>(crashMillis.keySet())
                        .forEach(incarnation -> disprove(incarnation, millis));
                changedMillis = millis;
            }
            return isChanged;
        }

        /**
         * Adds an incarnation and removes the earliest one if there are too many.
         *
         * @param times The times in milliseconds by incarnation.
         * @param incarnation The incarnation to add.
         * @param millis Its time in milliseconds.
         * @return {@code true} unless it is the earliest one.
         */
        private static boolean putAndKeepLatest(
                Map<String, Long> times, String incarnation, long millis) {
            times.put(incarnation, millis);
            if (times.size() > MAXIMUM_CRASHES) {
                times.remove(
                        Collections.min(times.entrySet(), Map.Entry.comparingByValue()).getKey());
            }
            return times.containsKey(incarnation);
        }

        /**
         * Returns the number of recorded crashes.
         *
         * @return The number of those that count and of those that were disproved.
         */
        private int size() {
            return crashMillis.size() + disprovedMillis.size();
        }

        /**
         * Returns the time of the last crash.
         *
         * @return The time in milliseconds, far in the past if no crash counts.
         */
        private long lastCrashMillis() {
            return crashMillis.isEmpty()
                    ? Long.MIN_VALUE / 2
                    : Collections.max(crashMillis.values());
        }

        /**
         * Removes what is too old to count.
         *
         * @param nowMillis The current time in milliseconds.
         * @return {@code true} if nothing is left.
         */
        private boolean removeExpired(long nowMillis) {
            if (nowMillis - lastCrashMillis() > CRASH_RETENTION_MILLIS) {
                crashMillis.clear();
            }
            disprovedMillis
                    .values()
                    .removeIf(millis -> nowMillis - millis > CRASH_RETENTION_MILLIS);
            return crashMillis.isEmpty() && disprovedMillis.isEmpty();
        }

        /**
         * Creates a notice of all crashes.
         *
         * @param fingerprint The fingerprint of the request.
         * @param nowMillis The current time in milliseconds.
         * @return The notice.
         */
        private CrashNotice toNotice(String fingerprint, long nowMillis) {
            Map<String, Long> agesMillis = new HashMap<>();
            crashMillis.forEach(
                    (incarnation, millis) ->
                            agesMillis.put(incarnation, Math.max(0, nowMillis - millis)));
            return new CrashNotice(fingerprint, agesMillis, List.copyOf(disprovedMillis.keySet()));
        }
    }
}
