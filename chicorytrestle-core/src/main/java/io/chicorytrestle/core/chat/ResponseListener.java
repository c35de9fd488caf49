package io.chicorytrestle.core.chat;

import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.Optional;

/**
 * Receives a checked answer, one call at a time and in order. Exactly one call of {@link
 * #onComplete} or {@link #onFailure} ends it.
 */
public interface ResponseListener {

    /**
     * Receives the next piece of the answer.
     *
     * @param text The text.
     */
    void onText(String text);

    /**
     * Learns that the answer is whole.
     *
     * @param usage What the answer cost.
     * @param placement The encoded placement token for the chat's next turn, or empty.
     */
    void onComplete(Usage usage, Optional<String> placement);

    /**
     * Learns that the answer is not whole and will not be.
     *
     * @param failure The failure with its verdict.
     */
    void onFailure(RequestFailureException failure);
}
