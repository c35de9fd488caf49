package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.verdict.FailureCode;
import java.util.Arrays;

/** Enumerates the answers of a steward. */
enum ReplyStatus {
    /** The place is granted. */
    GRANTED(1, FailureCode.INTERNAL),

    /** The sender has joined, and its lease is renewed. */
    JOINED(2, FailureCode.INTERNAL),

    /** The sender has not joined and must report first. */
    NOT_JOINED(3, FailureCode.UNAVAILABLE),

    /** Another entry instance is the steward. */
    REDIRECTED(4, FailureCode.UNAVAILABLE),

    /** No place became free in time. */
    OVERLOADED(5, FailureCode.OVERLOADED),

    /** The workspace has reached its ceiling and its queue is full. */
    CEILING_REACHED(6, FailureCode.CEILING_REACHED),

    /** The pool has no endpoint that takes work. */
    NO_ENDPOINT(7, FailureCode.NO_ENDPOINT);

    /** The number that names the answer in messages. */
    private final int number;

    /** The code of the failure that the answer means for a request. */
    private final FailureCode failureCode;

    /**
     * Creates a new answer.
     *
     * @param number The number that names the answer in messages.
     * @param code The code of the failure that the answer means for a request.
     */
    ReplyStatus(int number, FailureCode code) {
        this.number = number;
        this.failureCode = code;
    }

    /**
     * Returns the answer of a number.
     *
     * @param number The number.
     * @return The answer; an unknown number means {@link #OVERLOADED}.
     */
    static ReplyStatus of(int number) {
        return Arrays.stream(values())
                .filter(answer -> answer.number == number)
                .findFirst()
                .orElse(OVERLOADED);
    }

    /**
     * Returns the number that names the answer in messages.
     *
     * @return The number.
     */
    int number() {
        return number;
    }

    /**
     * Returns the code of the failure that the answer means for a request.
     *
     * @return The code.
     */
    FailureCode failureCode() {
        return failureCode;
    }
}
