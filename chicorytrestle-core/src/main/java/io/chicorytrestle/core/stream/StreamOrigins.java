package io.chicorytrestle.core.stream;

import io.chicorytrestle.core.placement.BoundedIdentifier;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers the origins of streams by the identifier of the request that began them. The oldest
 * ones are forgotten after some time, or sooner if there are too many. It is confined to one
 * thread.
 */
public final class StreamOrigins {

    /** The time in milliseconds for which an origin is remembered, longer than any stream. */
    public static final long MEMORY_MILLIS = 60_000;

    /** The maximum number of origins that are remembered. */
    static final int MAXIMUM_ENTRIES = 20_000;

    /** The maximum number of characters in the remembered origins and their identifiers. */
    static final int MAXIMUM_CHARACTERS = 2_000_000;

    /** The origins by bounded identifier, in the order in which they were recorded. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** The number of characters in the entries. */
    private int characters;

    /**
     * Records the origin of a stream. An identifier that is recorded with several origins is
     * ambiguous from then on.
     *
     * @param id The identifier of the request that began the stream.
     * @param origin The origin.
     * @param nowMillis The current time in milliseconds.
     */
    public void record(String id, StreamOrigin origin, long nowMillis) {
        String key = BoundedIdentifier.of(id);
        Entry before = entries.get(key);
        if (before != null && before.origin().equals(origin)) {
            return;
        }
        if (before != null) {
            entries.remove(key);
            characters -= characters(key, before);
        }
        Entry entry =
                new Entry(
                        before == null ? origin : before.origin().combinedWith(origin), nowMillis);
        entries.put(key, entry);
        characters += characters(key, entry);
        removeExpired(nowMillis);
    }

    /**
     * Returns the origin of a stream.
     *
     * @param id The identifier of the request that began it.
     * @param nowMillis The current time in milliseconds.
     * @return The origin, possibly an unknown or ambiguous one, or empty if none is remembered.
     */
    public Optional<StreamOrigin> find(String id, long nowMillis) {
        removeExpired(nowMillis);
        return Optional.ofNullable(entries.get(BoundedIdentifier.of(id))).map(Entry::origin);
    }

    /**
     * Forgets the oldest origins.
     *
     * @param nowMillis The current time in milliseconds.
     */
    private void removeExpired(long nowMillis) {
        Iterator<Map.Entry<String, Entry>> oldest = entries.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<String, Entry> entry = oldest.next();
            boolean isExcess = entries.size() > MAXIMUM_ENTRIES || characters > MAXIMUM_CHARACTERS;
            if (!isExcess && nowMillis - entry.getValue().recordedMillis() <= MEMORY_MILLIS) {
                return;
            }
            oldest.remove();
            characters -= characters(entry.getKey(), entry.getValue());
        }
    }

    /**
     * Counts the characters of an entry.
     *
     * @param key The bounded identifier.
     * @param entry The entry.
     * @return The number of characters.
     */
    private static int characters(String key, Entry entry) {
        return key.length() + entry.origin().service().length() + entry.origin().version().length();
    }

    /**
     * Holds the origin of a stream.
     *
     * @param origin The origin.
     * @param recordedMillis The time in milliseconds at which it was recorded.
     */
    private record Entry(StreamOrigin origin, long recordedMillis) {}
}
