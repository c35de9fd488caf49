package io.chicorytrestle.core.chat;

import io.chicorytrestle.core.endpoint.ResponseFrame;

/**
 * Validates that the frames of one request are received completely and in order. Not thread-safe;
 * callers guard it by a lock.
 */
public interface FrameValidator {

    /**
     * Validates the next received frame.
     *
     * @param frame The frame.
     * @return The result, which says how to handle the frame.
     */
    Result validate(ResponseFrame frame);

    /**
     * Returns the sequence number of the next expected frame, from which a stream is resumed.
     *
     * @return The sequence number, from zero.
     */
    long nextSequence();

    /** The results of a validation. */
    enum Result {

        /** The frame continues the response. */
        TEXT,

        /** The frame ends the response, which is complete. */
        END,

        /** The frame was received before; it is ignored. */
        DUPLICATE,

        /** At least one frame before this one is missing. */
        GAP,

        /** The frame belongs to another request. */
        FOREIGN
    }

    /** Creates the validators of requests. */
    @FunctionalInterface
    interface Factory {

        /**
         * Creates the validators of requests.
         *
         * @param requestId The identifier of the request at its engine.
         * @return The validator.
         */
        FrameValidator make(String requestId);
    }

    /** A validator that compares request identifiers and sequence numbers. */
    final class ForSequence implements FrameValidator {

        /** The identifier of the request at its engine. */
        private final String requestId;

        /** The sequence number of the next expected frame. */
        private long nextSequence;

        /**
         * Creates a new validator, which expects the first frame.
         *
         * @param requestId The identifier of the request at its engine.
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
