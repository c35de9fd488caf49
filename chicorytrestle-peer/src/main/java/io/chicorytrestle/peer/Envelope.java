package io.chicorytrestle.peer;

import io.chicorytrestle.core.peer.MessagePriority;
import java.util.Arrays;

/**
 * Wraps a message between entry instances.
 *
 * @param form The number of the envelope's form.
 * @param urgency The number of the message's rank.
 * @param correlation The number that joins an answer with its question; zero if there is none.
 * @param kind The number that names the message's type; zero for an error.
 * @param body The encoded message.
 */
@SuppressWarnings("ArrayRecordComponent")
record Envelope(int form, int urgency, long correlation, int kind, byte[] body) {

    /**
     * Creates a new envelope.
     *
     * @param form The envelope's form.
     * @param urgency The message's rank.
     * @param correlation The number that joins an answer with its question.
     * @param kind The number that names the message's type.
     * @param body The encoded message.
     */
    Envelope(Form form, MessagePriority urgency, long correlation, int kind, byte[] body) {
        this(form.number, urgency.number(), correlation, kind, body);
    }

    /**
     * Returns the message's rank.
     *
     * @return The rank; the last one if this version does not know it.
     */
    MessagePriority rank() {
        return MessagePriority.of(urgency);
    }

    /** Enumerates the forms of envelopes that messages are sent in. */
    enum Form {

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
        Form(int number) {
            this.number = number;
        }

        /**
         * Returns the form that a number names.
         *
         * @param number The number.
         * @return The form.
         * @throws PeerRejectedException If this version knows none.
         */
        static Form of(int number) throws PeerRejectedException {
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
