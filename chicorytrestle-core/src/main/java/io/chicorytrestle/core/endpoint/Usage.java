package io.chicorytrestle.core.endpoint;

/**
 * Holds the numbers of tokens that a response cost.
 *
 * @param promptTokens The number of tokens of the prompt.
 * @param cachedTokens The number of prompt tokens that were served from the engine's prefix cache.
 * @param generatedTokens The number of tokens of the response.
 */
public record Usage(int promptTokens, int cachedTokens, int generatedTokens) {}
