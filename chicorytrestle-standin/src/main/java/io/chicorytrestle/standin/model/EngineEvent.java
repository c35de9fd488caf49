package io.chicorytrestle.standin.model;

import io.chicorytrestle.core.endpoint.Usage;

/** A change in the state of a request on an engine. */
public sealed interface EngineEvent {

    /**
     * Returns the request that changed.
     *
     * @return The request identifier.
     */
    String requestId();

    /**
     * Returns the time of the event.
     *
     * @return The model time in milliseconds.
     */
    long atMillis();

    /**
     * The request left the queue for a batch slot.
     *
     * @param requestId The request identifier.
     * @param cachedTokens The number of prompt tokens that the prefix cache held.
     * @param atMillis The model time in milliseconds.
     */
    record Started(String requestId, int cachedTokens, long atMillis) implements EngineEvent {}

    /**
     * The request generated tokens. The first event of a request gives the time of its first token.
     *
     * @param requestId The request identifier.
     * @param generatedTokens The number of tokens that were generated so far.
     * @param atMillis The model time in milliseconds.
     */
    record Progressed(String requestId, int generatedTokens, long atMillis)
            implements EngineEvent {}

    /**
     * The request has generated all its tokens.
     *
     * @param requestId The request identifier.
     * @param usage The token usage of the request.
     * @param atMillis The model time in milliseconds.
     */
    record Finished(String requestId, Usage usage, long atMillis) implements EngineEvent {}
}
