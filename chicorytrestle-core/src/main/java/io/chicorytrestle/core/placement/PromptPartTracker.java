package io.chicorytrestle.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Records which endpoints processed each shared prompt part lately, as seen by this instance and as
 * reported by others, so that another endpoint can fetch the part from their KV caches. This class
 * is not thread-safe: it is confined to one thread.
 */
public final class PromptPartTracker {

    /**
     * The maximum number of recorded parts: several times the number of sessions of a busy site.
     */
    private static final int MAXIMUM_PARTS = 4_096;

    /** The age in milliseconds beyond which a part is assumed to have been evicted. */
    private static final long EVICTION_AGE_MILLIS = 30_000;

    /** The age in milliseconds from which a repeated read is reported to other instances again. */
    private static final long REPORT_INTERVAL_MILLIS = EVICTION_AGE_MILLIS / 2;

    /**
     * The time in milliseconds for which a read is reported: heartbeats to instances of other zones
     * are sent in every third round only.
     */
    private static final long REPORT_MILLIS = 1_300;

    /** The maximum number of reads in a report, which bounds the size of a heartbeat. */
    private static final int MAXIMUM_REPORTED_READS = 48;

    /** The maximum number of characters of a key: the model, a slash and the identifier. */
    private static final int MAXIMUM_KEY_LENGTH = 2 * BoundedIdentifier.MAXIMUM_LENGTH + 1;

    /** The number of tokens below which another prefill of a part costs less than a report. */
    private static final int MINIMUM_REPORTED_TOKENS = 256;

    /**
     * The times of the last read of each part by incarnation of the endpoint, least recently used
     * part first.
     */
    private final Map<String, Map<String, Long>> readMillisByHolder =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Map<String, Long>> eldest) {
                    return size() > MAXIMUM_PARTS;
                }
            };

    /** The own reads that are reported, the earliest first. */
    private final Deque<Read> reportedReads = new ArrayDeque<>();

    /**
     * Records an endpoint that processed a prompt and so holds its shared parts.
     *
     * @param prompt The prompt.
     * @param endpoint The endpoint.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordRead(Prompt prompt, ServingEndpoint endpoint, long nowMillis) {
        for (PromptPart part : prompt.sharedParts()) {
            String key = key(prompt, part);
            Long previousMillis = putRead(key, endpoint.incarnation(), nowMillis);
            boolean isNews =
                    previousMillis == null || nowMillis - previousMillis > REPORT_INTERVAL_MILLIS;
            if (isNews && part.tokens() >= MINIMUM_REPORTED_TOKENS) {
                reportedReads.addLast(new Read(key, endpoint.incarnation(), nowMillis));
                if (reportedReads.size() > MAXIMUM_REPORTED_READS) {
                    reportedReads.removeFirst();
                }
            }
        }
    }

    /**
     * Records a read.
     *
     * @param key The key of the part.
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The current time in milliseconds.
     * @return The time of the endpoint's previous read in milliseconds, or null if there is none.
     */
    private @Nullable Long putRead(String key, String incarnation, long nowMillis) {
        return readMillisByHolder
                .computeIfAbsent(key, ignored -> new HashMap<>())
                .put(incarnation, nowMillis);
    }

    /**
     * Returns the parts that endpoints read for the first time in a while at the request of this
     * instance, for its messages to others.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The keys of parts by incarnation of the endpoint.
     */
    public Map<String, List<String>> ownReads(long nowMillis) {
        while (!reportedReads.isEmpty()
                && nowMillis - reportedReads.getFirst().readMillis() > REPORT_MILLIS) {
            reportedReads.removeFirst();
        }
        Map<String, List<String>> reads = new HashMap<>();
        for (Read read : reportedReads) {
            reads.computeIfAbsent(read.incarnation(), ignored -> new ArrayList<>()).add(read.key());
        }
        return reads;
    }

    /**
     * Records the reads that another instance reported. Keys that are too long to keep, as
     * instances of earlier versions report them, are ignored.
     *
     * @param reads The keys of parts by incarnation of the endpoint.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordPeerReads(Map<String, List<String>> reads, long nowMillis) {
        reads.forEach(
                (incarnation, keys) ->
                        keys.stream()
                                .filter(key -> key.length() <= MAXIMUM_KEY_LENGTH)
                                .forEach(key -> putRead(key, incarnation, nowMillis)));
    }

    /**
     * Returns the address of another endpoint that holds the longest known prefix of a prompt. One
     * of the chosen endpoint's zone is preferred, since a transfer between zones takes longer.
     *
     * @param prompt The prompt.
     * @param chosen The endpoint that will process the prompt.
     * @param endpoints The endpoints that can be fetched from.
     * @param nowMillis The current time in milliseconds.
     * @return The address, or empty if no holder is known or the chosen endpoint itself holds the
     *     longest prefix.
     */
    public Optional<String> findOtherHolder(
            Prompt prompt,
            ServingEndpoint chosen,
            Collection<ServingEndpoint> endpoints,
            long nowMillis) {
        List<PromptPart> parts = prompt.sharedParts();
        for (int index = parts.size() - 1; index >= 0; index--) {
            Map<String, Long> holders = readMillisByHolder.get(key(prompt, parts.get(index)));
            if (holders == null) {
                continue;
            }
            holders.values().removeIf(readMillis -> nowMillis - readMillis > EVICTION_AGE_MILLIS);
            if (holders.containsKey(chosen.incarnation())) {
                return Optional.empty();
            }
            ServingEndpoint best = null;
            for (ServingEndpoint endpoint : endpoints) {
                if (holders.containsKey(endpoint.incarnation())
                        && (best == null || endpoint.zone().equals(chosen.zone()))) {
                    best = endpoint;
                }
            }
            if (best != null) {
                return Optional.of(best.address());
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the map key of a part. It includes the model, since the cached form depends on it.
     *
     * @param prompt The prompt.
     * @param part The part.
     * @return The model and the identifier of the part, separated by a slash.
     */
    private static String key(Prompt prompt, PromptPart part) {
        return prompt.model() + '/' + part.id();
    }

    /**
     * Holds a read that is reported.
     *
     * @param key The key of the part.
     * @param incarnation The incarnation of the endpoint.
     * @param readMillis The time of the read in milliseconds.
     */
    private record Read(String key, String incarnation, long readMillis) {}
}
