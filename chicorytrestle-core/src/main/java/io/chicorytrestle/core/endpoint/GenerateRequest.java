package io.chicorytrestle.core.endpoint;

import io.chicorytrestle.core.identity.ChatKey;

/**
 * Requests an engine to generate the response of a chat turn.
 *
 * @param requestId The identifier of the request, unique in the fleet.
 * @param chat The workspace and chat that the turn belongs to.
 * @param model The name of the model to execute.
 * @param prompt The complete prompt, including earlier turns.
 * @param maximumTokens The maximum number of tokens to generate.
 * @param priority The priority in the engine's queue; larger values are served first.
 */
public record GenerateRequest(
        String requestId,
        ChatKey chat,
        String model,
        String prompt,
        int maximumTokens,
        int priority) {}
