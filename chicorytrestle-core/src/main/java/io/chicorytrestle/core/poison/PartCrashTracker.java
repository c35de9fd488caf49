package io.chicorytrestle.core.poison;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * Quarantines prompt parts that crash the endpoints which answer requests with them, whatever else
 * these requests hold. All shared parts of the requests that an endpoint ran when it crashed are
 * suspects; a part is cleared when a request with it completes, and an endpoint's crash is
 * disproved when the endpoint answers later. This class is not thread-safe: it is confined to one
 * thread.
 */
public final class PartCrashTracker {

    /** The number of crashed endpoints, not explained by another part, that lead to quarantine. */
    private static final int QUARANTINE_THRESHOLD = 3;

    /**
     * The number of other requests that must have completed at one instance since the first crash:
     * while none completes, endpoints fail for another reason than the part.
     */
    private static final int MINIMUM_OTHER_COMPLETIONS = 4;

    /** The time in milliseconds after the last change at which a part is forgotten. */
    private static final long RETENTION_MILLIS = 600_000;

    /**
     * The time in milliseconds after a crash within which answers of the endpoint may have been
     * sent before it.
     */
    private static final long CRASH_SETTLING_MILLIS = 1_000;

    /**
     * The time in milliseconds for which a change is sent to other instances: a few heartbeats to
     * each.
     */
    private static final long NOTICE_PERIOD_MILLIS = 3_000;

    /** The maximum number of notices in one heartbeat, which keeps them below a kilobyte. */
    private static final int MAXIMUM_NOTICES = 16;

    /** The maximum number of records sent to a starting instance, a few kilobytes. */
    private static final int MAXIMUM_RECORDS = 32;

    /** The maximum number of recorded parts. */
    private static final int MAXIMUM_ENTRIES = 1_024;

    /** The crashes by the identifier of the part. */
    private final Map<String, Entry> entries = new HashMap<>();

    /** The number of requests that completed at this instance. */
    private long completions;

    /**
     * Returns {@code true} if no part is recorded.
     *
     * @return {@code true} if no part needs to be looked up.
     */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /**
     * Records an endpoint that broke the connection on which it ran a request.
     *
     * @param parts The identifiers of the request's shared prompt parts.
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordCrash(Collection<String> parts, String incarnation, long nowMillis) {
        for (String part : parts) {
            recordCrash(part, incarnation, true, nowMillis);
        }
    }

    /**
     * Records a crash under one part. If the tracker is full, the least suspicious part yields.
     *
     * @param part The identifier of the part.
     * @param incarnation The incarnation of the endpoint.
     * @param isWitnessed Whether this instance lost the connection itself.
     * @param nowMillis The current time in milliseconds.
     */
    private void recordCrash(String part, String incarnation, boolean isWitnessed, long nowMillis) {
        Entry entry = entries.get(part);
        if (entry == null) {
            if (entries.size() >= MAXIMUM_ENTRIES) {
                evictLeastSuspicious();
            }
            entry = new Entry();
            entries.put(part, entry);
        }
        if (entry.crashMillis.isEmpty()) {
            entry.completionsBefore = completions;
        }
        if (entry.crashMillis.putIfAbsent(incarnation, nowMillis) == null) {
            entry.isWitnessed |= isWitnessed;
            entry.changedMillis = Math.max(entry.changedMillis, nowMillis);
        }
    }

    /** Removes the part with the fewest crashes, the oldest one among equals. */
    private void evictLeastSuspicious() {
        entries.entrySet().stream()
                .min(
                        Comparator.comparingInt(
                                        (Map.Entry<String, Entry> entry) ->
                                                entry.getValue().crashMillis.size())
                                .thenComparingLong(entry -> entry.getValue().changedMillis))
                .map(Map.Entry::getKey)
                .ifPresent(entries::remove);
    }

    /**
     * Records a request that completed, which clears its parts.
     *
     * @param parts The identifiers of the request's shared prompt parts.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordCompletion(Collection<String> parts, long nowMillis) {
        completions++;
        for (String part : parts) {
            clear(part, true, nowMillis);
        }
    }

    /**
     * Clears a part, if it is recorded.
     *
     * @param part The identifier of the part.
     * @param isWitnessed Whether the request completed at this instance.
     * @param nowMillis The current time in milliseconds.
     */
    private void clear(String part, boolean isWitnessed, long nowMillis) {
        Entry entry = entries.get(part);
        if (entry != null && !entry.crashMillis.isEmpty()) {
            entry.crashMillis.clear();
            entry.reportedCompletions = 0;
            entry.isWitnessed = isWitnessed;
            entry.changedMillis = nowMillis;
        }
    }

    /**
     * Records an answer of an endpoint, which shows that it did not crash before.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordAnswer(String incarnation, long nowMillis) {
        if (entries.isEmpty()) {
            return;
        }
        entries.values()
                .removeIf(
                        entry -> {
                            Long crashMillis = entry.crashMillis.get(incarnation);
                            if (crashMillis == null
                                    || nowMillis - crashMillis <= CRASH_SETTLING_MILLIS) {
                                return false;
                            }
                            entry.crashMillis.remove(incarnation);
                            return entry.crashMillis.isEmpty();
                        });
    }

    /**
     * Returns the first part because of which a request must not run. Parts under which the same
     * endpoints crashed cannot be told apart: a request must hold all of them to be held back.
     *
     * @param parts The identifiers of a request's shared prompt parts.
     * @param nowMillis The current time in milliseconds.
     * @return The identifier of the part, or empty if the request may run.
     */
    public Optional<String> findQuarantined(Collection<String> parts, long nowMillis) {
        return parts.stream()
                .filter(
                        part -> {
                            Entry entry = entries.get(part);
                            return entry != null
                                    && isQuarantined(entry, nowMillis)
                                    && holdAllWithSameCrashes(parts, entry);
                        })
                .findFirst();
    }

    /**
     * Returns {@code true} if a request holds all parts under which the same endpoints crashed.
     *
     * @param parts The identifiers of the request's shared prompt parts.
     * @param entry The crashes.
     * @return {@code true} if no part with the same crashes is missing.
     */
    private boolean holdAllWithSameCrashes(Collection<String> parts, Entry entry) {
        return entries.entrySet().stream()
                .filter(other -> other.getValue().hasSameCrashes(entry))
                .map(Map.Entry::getKey)
                .allMatch(parts::contains);
    }

    /**
     * Returns the parts in quarantine, including those that cannot be told apart.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The identifiers of the parts.
     */
    public Set<String> quarantined(long nowMillis) {
        return entries.entrySet().stream()
                .filter(entry -> isQuarantined(entry.getValue(), nowMillis))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns {@code true} if the crashes under a part suffice for a quarantine. Crashes under a
     * part with more crashes are explained by that part.
     *
     * @param entry The crashes under the part.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the part is in quarantine.
     */
    private boolean isQuarantined(Entry entry, long nowMillis) {
        if (entry.isExpired(nowMillis)
                || entry.crashMillis.size() < QUARANTINE_THRESHOLD
                || entry.otherCompletions(completions) < MINIMUM_OTHER_COMPLETIONS) {
            return false;
        }
        Set<String> unexplained = new HashSet<>(entry.crashMillis.keySet());
        for (Entry other : entries.values()) {
            if (other.crashMillis.size() > entry.crashMillis.size()) {
                unexplained.removeAll(other.crashMillis.keySet());
            }
        }
        return unexplained.size() >= QUARANTINE_THRESHOLD;
    }

    /**
     * Returns notices of recent changes, which are sent to other instances: those that this
     * instance witnessed, and parts under which several endpoints crashed.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The notices, those with the most crashes first.
     */
    public List<PartCrashNotice> recentNotices(long nowMillis) {
        return notices(entry -> entry.isNoticeDue(nowMillis), MAXIMUM_NOTICES, entry -> 0L);
    }

    /**
     * Returns what another instance that has missed notices, such as one that starts, must know.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The notices with their ages, those with the most crashes first.
     */
    public List<PartCrashNotice> records(long nowMillis) {
        return notices(
                entry -> !entry.crashMillis.isEmpty() && !entry.isExpired(nowMillis),
                MAXIMUM_RECORDS,
                entry -> Math.max(0, nowMillis - entry.changedMillis));
    }

    /**
     * Returns notices of some parts.
     *
     * @param condition Whether a part is reported.
     * @param maximum The maximum number of notices.
     * @param ageMillis Returns the age of an entry's last change in milliseconds.
     * @return The notices, those with the most crashes first.
     */
    private List<PartCrashNotice> notices(
            Predicate<Entry> condition, int maximum, ToLongFunction<Entry> ageMillis) {
        return entries.entrySet().stream()
                .filter(entry -> condition.test(entry.getValue()))
                .map(
                        entry ->
                                new PartCrashNotice(
                                        entry.getKey(),
                                        List.copyOf(entry.getValue().crashMillis.keySet()),
                                        entry.getValue().otherCompletions(completions),
                                        ageMillis.applyAsLong(entry.getValue())))
                .sorted(
                        Comparator.comparingInt(
                                        (PartCrashNotice notice) -> notice.incarnations().size())
                                .reversed())
                .limit(maximum)
                .toList();
    }

    /**
     * Records a notice from another instance. Crashes under a part that was cleared lately are
     * ignored, since the notice may be outdated.
     *
     * @param notice The notice, whose crashes are added to those known here.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordNotice(PartCrashNotice notice, long nowMillis) {
        if (notice.isCleared()) {
            clear(notice.part(), false, nowMillis);
            return;
        }
        Entry entry = entries.get(notice.part());
        if (entry == null || !entry.crashMillis.isEmpty()) {
            for (String incarnation : notice.incarnations()) {
                recordCrash(notice.part(), incarnation, false, nowMillis - notice.ageMillis());
            }
            recordOtherCompletions(notice);
        }
    }

    /**
     * Keeps the largest number of other requests that completed at one instance, so that instances
     * with few requests of their own can tell a part from an outage, too.
     *
     * @param notice The notice of a recorded part.
     */
    private void recordOtherCompletions(PartCrashNotice notice) {
        Entry entry = entries.get(notice.part());
        if (entry != null) {
            entry.reportedCompletions =
                    Math.max(entry.reportedCompletions, notice.otherCompletions());
        }
    }

    /**
     * Removes crashes that are too old to count, and cleared parts whose notice was sent.
     *
     * @param nowMillis The current time in milliseconds.
     */
    public void removeExpired(long nowMillis) {
        entries.values().removeIf(entry -> entry.isExpired(nowMillis));
    }

    /** Holds the crashes under one part. */
    private static final class Entry {

        /**
         * The times in milliseconds at which crashes were recorded, by incarnation of the endpoint;
         * empty if the part was cleared.
         */
        private final Map<String, Long> crashMillis = new LinkedHashMap<>();

        /** The number of requests that had completed before the first crash. */
        private long completionsBefore;

        /** The largest number of other completions since the first crash that was reported. */
        private int reportedCompletions;

        /** Whether this instance itself witnessed a crash or the completion that cleared it. */
        private boolean isWitnessed;

        /** The time of the last change in milliseconds. */
        private long changedMillis = Long.MIN_VALUE / 2;

        /**
         * Returns the largest known number of other requests that completed at one instance since
         * the first crash.
         *
         * @param completions The number of requests that completed at this instance so far.
         * @return The number of requests.
         */
        private int otherCompletions(long completions) {
            return (int)
                    Math.min(
                            Integer.MAX_VALUE,
                            Math.max(reportedCompletions, completions - completionsBefore));
        }

        /**
         * Returns {@code true} if the same endpoints crashed under another part.
         *
         * @param other The crashes under the other part.
         * @return {@code true} if the crashes do not tell the parts apart.
         */
        private boolean hasSameCrashes(Entry other) {
            return crashMillis.keySet().equals(other.crashMillis.keySet());
        }

        /**
         * Returns {@code true} if the crashes are too old to count, or the notice of a cleared part
         * was sent.
         *
         * @param nowMillis The current time in milliseconds.
         * @return {@code true} if the entry is to be removed.
         */
        private boolean isExpired(long nowMillis) {
            return nowMillis - changedMillis
                    > (crashMillis.isEmpty() ? NOTICE_PERIOD_MILLIS : RETENTION_MILLIS);
        }

        /**
         * Returns {@code true} if a change is to be sent to other instances.
         *
         * @param nowMillis The current time in milliseconds.
         * @return {@code true} if it is recent, and was witnessed here or is a strong suspicion.
         */
        private boolean isNoticeDue(long nowMillis) {
            return nowMillis - changedMillis < NOTICE_PERIOD_MILLIS
                    && (isWitnessed || crashMillis.size() > 1);
        }
    }
}
