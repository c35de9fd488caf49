package io.chicorytrestle.core.chat;

/** Answers chat turns: admits, streams, resumes and retries. Several threads may call it. */
public interface ChatCoordinator {

    /**
     * Starts a chat turn.
     *
     * @param request The request.
     * @param listener Receives the answer.
     * @param nowMillis The present time in milliseconds.
     * @return A handle to give the turn up.
     */
    Turn start(ChatRequest request, ResponseListener listener, long nowMillis);

    /** A turn in flight. */
    @FunctionalInterface
    interface Turn {

        /**
         * Gives the turn up for this caller; the engine's work is cancelled if no other caller
         * waits for it.
         *
         * @param nowMillis The present time in milliseconds.
         */
        void cancel(long nowMillis);
    }
}
