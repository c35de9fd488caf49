package io.chicorytrestle.bench.routing;

import io.chicorytrestle.core.identity.ChatKey;

/**
 * Describes one turn of a chat.
 *
 * @param atMillis The arrival time in milliseconds of virtual time.
 * @param chat The chat.
 * @param promptTokens The tokens of the complete prompt, with the chat's history.
 * @param reusableTokens The tokens of the prompt that earlier turns of the chat have computed.
 * @param generatedTokens The tokens that the turn generates.
 * @param router The number of the router that the load balancer picks.
 * @param presentsToken Whether the caller presents the placement token of the last turn.
 */
record Turn(
        long atMillis,
        ChatKey chat,
        int promptTokens,
        int reusableTokens,
        int generatedTokens,
        int router,
        boolean presentsToken) {}
