package io.chicorytrestle.core.endpoint;

import org.jspecify.annotations.Nullable;

/**
 * Holds one frame of a streamed response.
 *
 * @param requestId The identifier of the request that the frame responds to.
 * @param sequence The sequence number of the frame in the response, from zero without gaps.
 * @param text The text of the frame; empty in the last frame.
 * @param usage The tokens that the complete response cost; {@code null} in all but the last frame.
 */
public record ResponseFrame(String requestId, long sequence, String text, @Nullable Usage usage) {

    /**
     * Returns {@code true} if this frame ends its response.
     *
     * @return {@code true} if this is the last frame.
     */
    public boolean isLast() {
        return usage != null;
    }
}
