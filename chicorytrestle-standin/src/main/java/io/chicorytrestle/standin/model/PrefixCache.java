package io.chicorytrestle.standin.model;

import io.chicorytrestle.core.identity.ChatKey;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A prefix cache with a limit on its tokens, which evicts the least recently used chat first. It
 * only counts tokens. It is confined to one thread.
 */
final class PrefixCache {

    /** The maximum number of events that are retained for readers. */
    private static final int MAXIMUM_RETAINED_EVENTS = 8_192;

    /** The maximum number of tokens to hold. */
    private final int capacityTokens;

    /** The number of tokens by chat, least recently used first. */
    private final Map<ChatKey, Integer> tokensByChat = new LinkedHashMap<>();

    /** The retained events, oldest first. */
    private final Deque<CacheEvent> events = new ArrayDeque<>();

    /** The number of tokens that are held of all chats. */
    private int totalTokens;

    /** The sequence number of the latest event, or zero. */
    private long lastEventNumber;

    /**
     * Creates a new, empty cache.
     *
     * @param capacityTokens The maximum number of tokens to hold.
     */
    PrefixCache(int capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /**
     * Returns the number of tokens that are held of a chat.
     *
     * @param chat The chat.
     * @return The number of tokens, zero if none are held.
     */
    int cachedTokens(ChatKey chat) {
        return tokensByChat.getOrDefault(chat, 0);
    }

    /**
     * Marks a chat as the most recently used one, if it is held.
     *
     * @param chat The chat.
     */
    void markUsed(ChatKey chat) {
        Integer tokens = tokensByChat.remove(chat);
        if (tokens != null) {
            tokensByChat.put(chat, tokens);
        }
    }

    /**
     * Stores a chat's tokens in place of earlier ones and evicts the least recently used chats
     * above the capacity.
     *
     * @param chat The chat.
     * @param tokens The number of tokens of the chat.
     * @param nowMillis The current time in milliseconds.
     */
    void store(ChatKey chat, int tokens, long nowMillis) {
        int storedTokens = Math.min(tokens, capacityTokens);
        Integer previousTokens = tokensByChat.remove(chat);
        totalTokens -= previousTokens == null ? 0 : previousTokens;
        if (storedTokens <= 0) {
            return;
        }
        tokensByChat.put(chat, storedTokens);
        totalTokens += storedTokens;
        recordEvent(chat, storedTokens, CacheEvent.Kind.STORED, nowMillis);
        evictLeastRecentlyUsed(nowMillis);
    }

    /**
     * Returns the retained events after a sequence number.
     *
     * @param afterNumber The sequence number of the last event that the reader has, or zero.
     * @param untilMillis The time of the latest event to return, in milliseconds.
     * @return The events in order.
     */
    List<CacheEvent> events(long afterNumber, long untilMillis) {
        return events.stream()
                .filter(event -> event.number() > afterNumber && event.atMillis() <= untilMillis)
                .toList();
    }

    /**
     * Evicts the least recently used chats until the others fit the capacity.
     *
     * @param nowMillis The current time in milliseconds.
     */
    private void evictLeastRecentlyUsed(long nowMillis) {
        Iterator<Map.Entry<ChatKey, Integer>> iterator = tokensByChat.entrySet().iterator();
        while (totalTokens > capacityTokens && iterator.hasNext()) {
            Map.Entry<ChatKey, Integer> entry = iterator.next();
            totalTokens -= entry.getValue();
            recordEvent(entry.getKey(), entry.getValue(), CacheEvent.Kind.EVICTED, nowMillis);
            iterator.remove();
        }
    }

    /**
     * Appends an event and drops the oldest one above the maximum.
     *
     * @param chat The chat.
     * @param tokens The number of tokens of the chat.
     * @param kind The kind of change.
     * @param nowMillis The current time in milliseconds.
     */
    private void recordEvent(ChatKey chat, int tokens, CacheEvent.Kind kind, long nowMillis) {
        lastEventNumber++;
        events.addLast(new CacheEvent(lastEventNumber, chat, tokens, kind, nowMillis));
        if (events.size() > MAXIMUM_RETAINED_EVENTS) {
            events.removeFirst();
        }
    }
}
