package io.chicorytrestle.core.chat;

import io.chicorytrestle.core.identity.ChatKey;
import java.util.Optional;

/**
 * Requests the response to a chat turn.
 *
 * @param requestId The identifier of the request, unique in the fleet.
 * @param chat The workspace and chat that the turn belongs to.
 * @param pool The pool whose engines serve the turn.
 * @param prompt The complete prompt, including earlier turns.
 * @param promptTokens The number of tokens of the prompt, as estimated by the caller front.
 * @param maximumTokens The maximum number of tokens to generate.
 * @param deadlineMillis The time by which the response has to start, in milliseconds.
 * @param placement The encoded placement token that the caller sent, or empty.
 * @param idempotencyKey The caller's key by which repeated requests are coalesced, or empty.
 */
public record ChatRequest(
        String requestId,
        ChatKey chat,
        String pool,
        String prompt,
        int promptTokens,
        int maximumTokens,
        long deadlineMillis,
        Optional<String> placement,
        Optional<String> idempotencyKey) {}
