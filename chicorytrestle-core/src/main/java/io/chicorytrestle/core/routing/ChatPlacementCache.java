package io.chicorytrestle.core.routing;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.chicorytrestle.core.identity.EndpointIdentity;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Remembers where the last turns of a bounded number of chats ran. */
final class ChatPlacementCache {

    /** The most chats to remember. */
    private static final long MAXIMUM_CHATS = 65_536;

    /** The most engines to remember for a chat. */
    private static final int MAXIMUM_ENGINES_PER_CHAT = 3;

    /** The last turns by the hashes of their chats, youngest first. */
    private final Cache<Long, List<Turn>> turnsByChatHash =
            Caffeine.newBuilder().maximumSize(MAXIMUM_CHATS).executor(Runnable::run).build();

    /**
     * Takes note of a turn's end.
     *
     * @param chatHash The hash of the chat.
     * @param engine The engine that ran the turn.
     * @param cachedTokens The tokens that the engine holds of the chat.
     * @param nowMillis The present time in milliseconds.
     */
    void recordTurn(long chatHash, EndpointIdentity engine, int cachedTokens, long nowMillis) {
        List<Turn> replaced = new ArrayList<>(MAXIMUM_ENGINES_PER_CHAT);
        replaced.add(new Turn(engine, cachedTokens, nowMillis));
        List<Turn> present = turnsByChatHash.getIfPresent(chatHash);
        if (present != null) {
            present.stream()
                    .filter(turn -> !turn.engine.name().equals(engine.name()))
                    .limit(MAXIMUM_ENGINES_PER_CHAT - 1L)
                    .forEach(replaced::add);
        }
        turnsByChatHash.put(chatHash, List.copyOf(replaced));
    }

    /**
     * Returns what is believed of a chat's cached tokens.
     *
     * @param request The request of the chat.
     * @param nowMillis The present time in milliseconds.
     * @return What is remembered and what the request presents, the most tokens first.
     */
    List<LeaderMessage.CacheHint> cacheHints(LeaderMessage.AdmitRequest request, long nowMillis) {
        List<LeaderMessage.CacheHint> claims = new ArrayList<>(request.cacheHints());
        List<Turn> present = turnsByChatHash.getIfPresent(request.chatHash());
        if (present != null) {
            present.forEach(turn -> claims.add(turn.toCacheHint(nowMillis)));
        }
        claims.sort(Comparator.comparingInt(LeaderMessage.CacheHint::cachedTokens).reversed());
        return claims;
    }

    /**
     * Holds the end of a turn.
     *
     * @param engine The engine that ran the turn.
     * @param cachedTokens The tokens that the engine holds of the chat.
     * @param endedAtMillis The time of the turn's end in milliseconds.
     */
    private record Turn(EndpointIdentity engine, int cachedTokens, long endedAtMillis) {

        /**
         * Returns what the turn claims.
         *
         * @param nowMillis The present time in milliseconds.
         * @return The claim.
         */
        private LeaderMessage.CacheHint toCacheHint(long nowMillis) {
            return new LeaderMessage.CacheHint(
                    engine.name(), engine.incarnation(), cachedTokens, nowMillis - endedAtMillis);
        }
    }
}
