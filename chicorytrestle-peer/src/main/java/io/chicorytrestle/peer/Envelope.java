package io.chicorytrestle.peer;

import io.chicorytrestle.core.peer.MessagePriority;
import java.util.Arrays;

/**
 * Wraps a message between entry instances.
 *
 * @param frameType The number of the envelope's form.
 * @param priorityNumber The number of the message's rank.
 * @param correlation The number that joins an answer with its question; zero if there is none.
 * @param kind The number that names the message's type; zero for an error.
 * @param body The encoded message.
 */
@SuppressWarnings("ArrayRecordComponent")
record Envelope(int frameType, int priorityNumber, long correlation, int kind, byte[] body) {

    /**
     * Creates a new envelope.
     *
     * @param frameType The envelope's form.
     * @param priorityNumber The message's rank.
     * @param correlation The number that joins an answer with its question.
     * @param kind The number that names the message's type.
     * @param body The encoded message.
     */
    Envelope(FrameType frameType, MessagePriority priorityNumber, long correlation, int kind, byte[] body) {
        this(frameType.number, priorityNumber.number(), correlation, kind, body);
    }

    /**
     * Returns the message's rank.
     *
     * @return The rank; the last one if this version does not know it.
     */
    MessagePriority priority() {
        return MessagePriority.of(priorityNumber);
    }

    /** Enumerates the forms of envelopes that messages are sent in. */
    enum FrameType {

        /** A message without an answer. */
        TELL(0),

        /** A message that wants an answer. */
        ASK(1),

        /** The answer to a message. */
        ANSWER(2),

        /** An answer that tells that a message was not handled. */
        ERROR(3);

        /** The number that is sent. */
        private final int number;

        /**
         * Creates a new form.
         *
         * @param number The number that is sent.
         */
        FrameType(int number) {
            this.number = number;
        }

        /**
         * Returns the form that a number names.
         *
         * @param number The number.
         * @return The form.
         * @throws PeerRejectedException If this version knows none.
         */
        static FrameType of(int number) throws PeerRejectedException {
            return Arrays.stream(values())
                    .filter(form -> form.number == number)
                    .findFirst()
                    .orElseThrow(
                            () ->
                                    new PeerRejectedException(
                                            "Cannot read form of envelope: " + number));
        }
    }
}
