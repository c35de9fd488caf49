package io.chicorytrestle.core.routing;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.chicorytrestle.core.identity.EndpointIdentity;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Caches which engines ran the last turns of chats, for a bounded number of chats. */
final class ChatPlacementCache {

    /** The maximum number of cached chats. */
    private static final long MAXIMUM_CHATS = 65_536;

    /** The maximum number of engines kept for each chat. */
    private static final int MAXIMUM_ENGINES_PER_CHAT = 3;

    /** The last turns by chat hash, newest first, at most one for each engine name. */
    private final Cache<Long, List<Turn>> turnsByChatHash =
            Caffeine.newBuilder().maximumSize(MAXIMUM_CHATS).executor(Runnable::run).build();

    /**
     * Records the end of a turn.
     *
     * @param chatHash The hash of the chat.
     * @param engine The engine that ran the turn.
     * @param cachedTokens The tokens of the chat in the engine's cache.
     * @param nowMillis The current time in milliseconds.
     */
    void recordTurn(long chatHash, EndpointIdentity engine, int cachedTokens, long nowMillis) {
        List<Turn> updated = new ArrayList<>(MAXIMUM_ENGINES_PER_CHAT);
        updated.add(new Turn(engine, cachedTokens, nowMillis));
        List<Turn> previous = turnsByChatHash.getIfPresent(chatHash);
        if (previous != null) {
            previous.stream()
                    .filter(turn -> !turn.engine.name().equals(engine.name()))
                    .limit(MAXIMUM_ENGINES_PER_CHAT - 1L)
                    .forEach(updated::add);
        }
        turnsByChatHash.put(chatHash, List.copyOf(updated));
    }

    /**
     * Returns the estimates of a chat's cached tokens.
     *
     * @param request The request of the chat.
     * @param nowMillis The current time in milliseconds.
     * @return The hints from this cache and from the request, those with most tokens first.
     */
    List<LeaderMessage.CacheHint> cacheHints(LeaderMessage.AdmitRequest request, long nowMillis) {
        List<LeaderMessage.CacheHint> hints = new ArrayList<>(request.cacheHints());
        List<Turn> previous = turnsByChatHash.getIfPresent(request.chatHash());
        if (previous != null) {
            previous.forEach(turn -> hints.add(turn.toCacheHint(nowMillis)));
        }
        hints.sort(Comparator.comparingInt(LeaderMessage.CacheHint::cachedTokens).reversed());
        return hints;
    }

    /**
     * A finished turn.
     *
     * @param engine The engine that ran the turn.
     * @param cachedTokens The tokens of the chat in the engine's cache.
     * @param endedAtMillis The time of the turn's end in milliseconds.
     */
    private record Turn(EndpointIdentity engine, int cachedTokens, long endedAtMillis) {

        /**
         * Converts this turn to a hint.
         *
         * @param nowMillis The current time in milliseconds.
         * @return The hint.
         */
        private LeaderMessage.CacheHint toCacheHint(long nowMillis) {
            return new LeaderMessage.CacheHint(
                    engine.name(), engine.incarnation(), cachedTokens, nowMillis - endedAtMillis);
        }
    }
}
