package io.chicorytrestle.core.chat;

import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Accumulates the response of a turn. Guarded by the lock of the turn. */
final class PartialResponse {

    /** The validated chunks in order. */
    private final List<String> chunks = new ArrayList<>();

    /** The tokens that the complete response cost, or {@code null} while it isn't complete. */
    private @Nullable Usage usage;

    /** The placement token of the complete response, empty until then. */
    private Optional<String> placement = Optional.empty();

    /** The failure, or {@code null} if the response didn't fail. */
    private @Nullable RequestFailureException failure;

    /**
     * Returns the validated chunks received so far.
     *
     * @return The chunks, a live view that the caller doesn't modify.
     */
    List<String> chunks() {
        return chunks;
    }

    /**
     * Appends a chunk.
     *
     * @param text The text of the chunk.
     */
    void append(String text) {
        chunks.add(text);
    }

    /**
     * Marks the response as complete.
     *
     * @param responseUsage The tokens that the response cost.
     * @param placementToken The placement token.
     */
    void complete(Usage responseUsage, Optional<String> placementToken) {
        usage = responseUsage;
        placement = placementToken;
    }

    /**
     * Marks the response as failed.
     *
     * @param cause The failure.
     */
    void fail(RequestFailureException cause) {
        failure = cause;
    }

    /**
     * Returns {@code true} if no further chunk will follow.
     *
     * @return {@code true} if the response is complete or failed.
     */
    boolean isEnded() {
        return usage != null || failure != null;
    }

    /**
     * Notifies a listener of the completion or failure, if the response ended.
     *
     * @param listener The listener.
     * @return {@code true} if the response ended and the listener was notified.
     */
    boolean notifyIfEnded(ResponseListener listener) {
        if (usage != null) {
            listener.onComplete(usage, placement);
        } else if (failure != null) {
            listener.onFailure(failure);
        }
        return isEnded();
    }
}
