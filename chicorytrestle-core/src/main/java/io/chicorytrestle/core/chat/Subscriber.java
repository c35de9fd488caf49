package io.chicorytrestle.core.chat;

/** Follows the answer of a shared turn. Confined to the turn's lock. */
final class Subscriber {

    /** Receives the answer. */
    private final ResponseListener listener;

    /** The pieces of the answer that were handed on. */
    private int deliveredChunks;

    /** Whether the subscriber takes no more. */
    private boolean ended;

    /**
     * Creates a new subscriber.
     *
     * @param listener Receives the answer.
     */
    Subscriber(ResponseListener listener) {
        this.listener = listener;
    }

    /**
     * Hands on what the subscriber has not received yet.
     *
     * @param answer The answer so far.
     */
    void deliver(PartialResponse answer) {
        while (!ended && deliveredChunks < answer.chunks().size()) {
            String piece = answer.chunks().get(deliveredChunks);
            deliveredChunks++;
            listener.onText(piece);
        }
        if (!ended) {
            ended = answer.notifyIfEnded(listener);
        }
    }

    /** Hands nothing more on. */
    void cancel() {
        ended = true;
    }
}
