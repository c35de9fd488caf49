package io.chicorytrestle.core.chat;

import io.chicorytrestle.core.endpoint.ResponseFrame;

/** Checks that the frames of one request arrive whole and in order. Confined to one lock. */
public interface FrameValidator {

    /**
     * Checks the next frame.
     *
     * @param frame The frame.
     * @return What to do with the frame.
     */
    Result validate(ResponseFrame frame);

    /**
     * Returns the sequence of the frame that is awaited.
     *
     * @return The sequence of the frame that is awaited.
     */
    long nextSequence();

    /** Enumerates what a check finds. */
    enum Result {

        /** The frame continues the answer. */
        TEXT,

        /** The frame ends the answer, which is whole. */
        END,

        /** The frame was received before. */
        DUPLICATE,

        /** A frame before this one is missing. */
        GAP,

        /** The frame belongs to another request. */
        FOREIGN
    }

    /** Creates the check of a request. */
    @FunctionalInterface
    interface Factory {

        /**
         * Creates the check of a request.
         *
         * @param requestId The request's identifier as its engine knows it.
         * @return The check.
         */
        FrameValidator make(String requestId);
    }

    /** A check by request, sequence and end. */
    final class ForSequence implements FrameValidator {

        /** The request's identifier. */
        private final String requestId;

        /** The sequence of the frame that is awaited. */
        private long nextSequence;

        /**
         * Creates a new check.
         *
         * @param requestId The request's identifier as its engine knows it.
         */
        public ForSequence(String requestId) {
            this.requestId = requestId;
        }

        @Override
        public Result validate(ResponseFrame frame) {
            if (!frame.requestId().equals(requestId)) {
                return Result.FOREIGN;
            }
            if (frame.sequence() < nextSequence) {
                return Result.DUPLICATE;
            }
            if (frame.sequence() > nextSequence) {
                return Result.GAP;
            }
            nextSequence++;
            return frame.isLast() ? Result.END : Result.TEXT;
        }

        @Override
        public long nextSequence() {
            return nextSequence;
        }
    }
}
