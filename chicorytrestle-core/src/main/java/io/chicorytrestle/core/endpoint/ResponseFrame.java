package io.chicorytrestle.core.endpoint;

import org.jspecify.annotations.Nullable;

/**
 * Holds one frame of a streamed answer.
 *
 * @param requestId The identifier of the request that the frame answers.
 * @param sequence The position of the frame in the answer, from zero without gaps.
 * @param text The text of the frame; empty in the last frame.
 * @param usage The answer's whole cost, present in the last frame only.
 */
public record ResponseFrame(String requestId, long sequence, String text, @Nullable Usage usage) {

    /**
     * Returns {@code true} if this frame ends its answer.
     *
     * @return {@code true} if this frame ends its answer.
     */
    public boolean isLast() {
        return usage != null;
    }
}
