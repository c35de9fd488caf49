package io.chicorytrestle.standin.http;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import io.chicorytrestle.standin.model.CacheEvent;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The JSON messages that engines receive and send. */
final class EngineProtocol {

    /** Prevents instantiation. */
    private EngineProtocol() {}

    /**
     * A request to generate a response.
     *
     * @param requestId The request identifier.
     * @param workspace The workspace.
     * @param chat The chat.
     * @param prompt The complete prompt.
     * @param maximumTokens The maximum number of tokens to generate.
     * @param priority The priority; requests with a larger one start first.
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record Generate(
            String requestId,
            String workspace,
            String chat,
            String prompt,
            int maximumTokens,
            int priority) {}

    /**
     * The load of an engine at a point in time.
     *
     * @param incarnation The incarnation, which grows by one after each crash.
     * @param running The number of requests in the batch.
     * @param queued The number of requests that wait for a batch slot.
     * @param asOfMillis The time of the measurement in milliseconds, which may lie behind the time
     *     of the reply.
     */
    record LoadReport(long incarnation, int running, int queued, long asOfMillis) {}

    /**
     * A page of cache events.
     *
     * @param events The events.
     * @param next The event number from which the reader continues; it counts lost events, too.
     */
    record CacheEvents(List<ListedCacheEvent> events, long next) {}

    /**
     * A change of a chat's cached tokens.
     *
     * @param number The sequence number; a gap means a lost event.
     * @param workspace The workspace.
     * @param chat The chat.
     * @param tokens The tokens.
     * @param kind The kind.
     */
    record ListedCacheEvent(
            long number, String workspace, String chat, int tokens, CacheEvent.Kind kind) {

        /**
         * Converts an event to its JSON form.
         *
         * @param event The event.
         * @return The event in its JSON form.
         */
        static ListedCacheEvent of(CacheEvent event) {
            return new ListedCacheEvent(
                    event.number(),
                    event.chat().workspace(),
                    event.chat().chat(),
                    event.tokens(),
                    event.kind());
        }
    }

    /**
     * The number of tokens of a chat that an engine's prefix cache holds, as exported and imported.
     *
     * @param workspace The workspace.
     * @param chat The chat.
     * @param tokens The tokens.
     */
    record CachedChat(String workspace, String chat, int tokens) {}

    /**
     * An order to load a model or to take a role.
     *
     * @param fence The fencing token; an engine that checks it refuses one lower than that of its
     *     last order.
     * @param model The model to load.
     * @param version The model's version.
     * @param adapter The adapter to load, or {@code null} for none.
     * @param role The role to take, or {@code null} for the default one.
     */
    record Order(
            long fence,
            String model,
            String version,
            @Nullable String adapter,
            @Nullable String role) {}
}
