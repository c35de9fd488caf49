package io.chicorytrestle.core.chat;

/**
 * Serves chat turns: admits them, streams the responses, resumes interrupted streams and retries
 * failed attempts. Implementations are thread-safe.
 */
public interface ChatCoordinator {

    /**
     * Starts a chat turn. The listener may be called before this method returns.
     *
     * @param request The request.
     * @param listener Receives the response.
     * @param nowMillis The current time in milliseconds.
     * @return A handle to cancel the turn.
     */
    Turn start(ChatRequest request, ResponseListener listener, long nowMillis);

    /** A turn in flight. */
    @FunctionalInterface
    interface Turn {

        /**
         * Cancels the turn for this caller. The engine's work is cancelled if no other caller waits
         * for it.
         *
         * @param nowMillis The current time in milliseconds.
         */
        void cancel(long nowMillis);
    }
}
