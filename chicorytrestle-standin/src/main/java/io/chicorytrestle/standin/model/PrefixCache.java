package io.chicorytrestle.standin.model;

import io.chicorytrestle.core.identity.ChatKey;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Holds the tokens of the chats that were used last. It is confined to one thread. */
final class PrefixCache {

    /** The most events that are kept for readers. */
    private static final int MAXIMUM_RETAINED_EVENTS = 8_192;

    /** The most tokens to hold. */
    private final int capacityTokens;

    /** The tokens by chat, the one used longest ago first. */
    private final Map<ChatKey, Integer> tokensByChat = new LinkedHashMap<>();

    /** The latest events, oldest first. */
    private final Deque<CacheEvent> events = new ArrayDeque<>();

    /** The tokens that are held. */
    private int totalTokens;

    /** The number of the latest event. */
    private long lastEventNumber;

    /**
     * Creates a new, empty cache.
     *
     * @param capacityTokens The most tokens to hold.
     */
    PrefixCache(int capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /**
     * Returns the tokens that are held of a chat.
     *
     * @param chat The chat.
     * @return The tokens, or zero.
     */
    int cachedTokens(ChatKey chat) {
        return tokensByChat.getOrDefault(chat, 0);
    }

    /**
     * Marks a chat as used just now.
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
     * Holds a chat's tokens and evicts those used longest ago where room is short.
     *
     * @param chat The chat.
     * @param tokens The tokens of the chat.
     * @param nowMillis The present time in milliseconds.
     */
    void store(ChatKey chat, int tokens, long nowMillis) {
        int fitting = Math.min(tokens, capacityTokens);
        Integer before = tokensByChat.remove(chat);
        totalTokens -= before == null ? 0 : before;
        if (fitting <= 0) {
            return;
        }
        tokensByChat.put(chat, fitting);
        totalTokens += fitting;
        recordEvent(chat, fitting, CacheEvent.Kind.STORED, nowMillis);
        evictLeastRecentlyUsed(nowMillis);
    }

    /**
     * Returns the kept events after a number.
     *
     * @param afterNumber The number of the last event that the reader knows.
     * @param untilMillis The time up to which events are told, in milliseconds.
     * @return The events in order.
     */
    List<CacheEvent> events(long afterNumber, long untilMillis) {
        return events.stream()
                .filter(event -> event.number() > afterNumber && event.atMillis() <= untilMillis)
                .toList();
    }

    /**
     * Evicts the chats used longest ago until the rest fits.
     *
     * @param nowMillis The present time in milliseconds.
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
     * Takes note of an event.
     *
     * @param chat The chat.
     * @param tokens The tokens of the chat.
     * @param kind What happened.
     * @param nowMillis The present time in milliseconds.
     */
    private void recordEvent(ChatKey chat, int tokens, CacheEvent.Kind kind, long nowMillis) {
        lastEventNumber++;
        events.addLast(new CacheEvent(lastEventNumber, chat, tokens, kind, nowMillis));
        if (events.size() > MAXIMUM_RETAINED_EVENTS) {
            events.removeFirst();
        }
    }
}
