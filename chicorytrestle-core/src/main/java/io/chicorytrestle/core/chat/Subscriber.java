package io.chicorytrestle.core.chat;

/**
 * Delivers the response of a shared turn to one caller's listener. Guarded by the lock of the turn.
 */
final class Subscriber {

    /** Receives the response. */
    private final ResponseListener listener;

    /** The number of chunks delivered to the listener. */
    private int deliveredChunks;

    /** Whether nothing more is delivered, because the response ended or the caller cancelled. */
    private boolean ended;

    /**
     * Creates a new subscriber.
     *
     * @param listener Receives the response.
     */
    Subscriber(ResponseListener listener) {
        this.listener = listener;
    }

    /**
     * Delivers what the listener hasn't received yet, including the end of the response.
     *
     * @param response The response received so far.
     */
    void deliver(PartialResponse response) {
        while (!ended && deliveredChunks < response.chunks().size()) {
            String chunk = response.chunks().get(deliveredChunks);
            deliveredChunks++;
            listener.onText(chunk);
        }
        if (!ended) {
            ended = response.notifyIfEnded(listener);
        }
    }

    /** Stops the delivery; the listener isn't called again. */
    void cancel() {
        ended = true;
    }
}
