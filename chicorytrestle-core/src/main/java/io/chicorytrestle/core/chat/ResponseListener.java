package io.chicorytrestle.core.chat;

import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.Optional;

/**
 * Receives the response to a chat turn, whose frames have already been validated. The methods are
 * called one at a time and in order; exactly one call of {@link #onComplete} or {@link #onFailure}
 * ends the response.
 */
public interface ResponseListener {

    /**
     * Receives the next chunk of the response.
     *
     * @param text The text to append.
     */
    void onText(String text);

    /**
     * Called when the response is complete.
     *
     * @param usage The numbers of prompt, cached and generated tokens.
     * @param placement The encoded placement token for the chat's next turn, or empty.
     */
    void onComplete(Usage usage, Optional<String> placement);

    /**
     * Called when the response failed and can't be completed.
     *
     * @param failure The failure with its verdict.
     */
    void onFailure(RequestFailureException failure);
}
