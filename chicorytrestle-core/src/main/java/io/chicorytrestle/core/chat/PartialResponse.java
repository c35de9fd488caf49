package io.chicorytrestle.core.chat;

import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Collects the answer of a turn. Confined to the turn's lock. */
final class PartialResponse {

    /** The checked pieces. */
    private final List<String> chunks = new ArrayList<>();

    /** What the whole answer cost, or {@code null} while it is not whole. */
    private @Nullable Usage usage;

    /** The placement token of the whole answer. */
    private Optional<String> placement = Optional.empty();

    /** The failure, or {@code null} if there is none. */
    private @Nullable RequestFailureException failure;

    /**
     * Returns the checked pieces.
     *
     * @return The checked pieces.
     */
    List<String> chunks() {
        return chunks;
    }

    /**
     * Adds a piece.
     *
     * @param text The piece.
     */
    void append(String text) {
        chunks.add(text);
    }

    /**
     * Marks the answer as whole.
     *
     * @param cost What the answer cost.
     * @param token The placement token.
     */
    void complete(Usage cost, Optional<String> token) {
        usage = cost;
        placement = token;
    }

    /**
     * Marks the answer as failed.
     *
     * @param cause The failure.
     */
    void fail(RequestFailureException cause) {
        failure = cause;
    }

    /**
     * Returns {@code true} if nothing will be added.
     *
     * @return {@code true} if the answer is whole or failed.
     */
    boolean isEnded() {
        return usage != null || failure != null;
    }

    /**
     * Tells a listener how the answer ended, if it did.
     *
     * @param listener The listener.
     * @return {@code true} if the answer ended.
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
