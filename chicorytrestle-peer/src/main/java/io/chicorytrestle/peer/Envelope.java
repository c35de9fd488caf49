package io.chicorytrestle.peer;

import io.chicorytrestle.core.peer.MessagePriority;
import java.util.Arrays;

/**
 * The envelope of a message between entry instances. Encoded as an array, so the order of the
 * components is part of the wire format.
 *
 * @param frameType The number of the {@link FrameType}.
 * @param priorityNumber The number of the {@link MessagePriority}.
 * @param correlation The number that matches a reply to its request; zero for a one-way message.
 * @param kind The number of the message's type; zero for an error.
 * @param body The encoded message.
 */
@SuppressWarnings("ArrayRecordComponent")
record Envelope(int frameType, int priorityNumber, long correlation, int kind, byte[] body) {

    /**
     * Creates a new envelope.
     *
     * @param frameType The type of the frame.
     * @param priority The message's priority.
     * @param correlation The number that matches a reply to its request; zero for a one-way
     *     message.
     * @param kind The number of the message's type; zero for an error.
     * @param body The encoded message.
     */
    Envelope(
            FrameType frameType,
            MessagePriority priority,
            long correlation,
            int kind,
            byte[] body) {
        this(frameType.number, priority.number(), correlation, kind, body);
    }

    /**
     * Returns the message's priority.
     *
     * @return The priority, or the lowest one if this version doesn't know the number.
     */
    MessagePriority priority() {
        return MessagePriority.of(priorityNumber);
    }

    /** Enumerates the types of frames that carry messages. */
    enum FrameType {

        /** A one-way message. */
        TELL(0),

        /** A request, which expects a reply. */
        ASK(1),

        /** The reply to a request. */
        ANSWER(2),

        /** A reply without a message, sent if a request wasn't handled. */
        ERROR(3);

        /** The number that identifies the type in frames. */
        private final int number;

        /**
         * Creates a new type.
         *
         * @param number The number that identifies the type in frames.
         */
        FrameType(int number) {
            this.number = number;
        }

        /**
         * Returns the type of a number.
         *
         * @param number The number.
         * @return The type.
         * @throws PeerRejectedException If this version doesn't know the number.
         */
        static FrameType of(int number) throws PeerRejectedException {
            return Arrays.stream(values())
                    .filter(type -> type.number == number)
                    .findFirst()
                    .orElseThrow(
                            () ->
                                    new PeerRejectedException(
                                            "Cannot read form of envelope: " + number));
        }
    }
}
