package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.verdict.FailureCode;
import java.util.Arrays;

/** The status in a leader's reply. */
enum ReplyStatus {
    /** The slot is granted. */
    GRANTED(1, FailureCode.INTERNAL),

    /** The sender has joined, and its lease is started or renewed. */
    JOINED(2, FailureCode.INTERNAL),

    /** The sender has not joined and must report first. */
    NOT_JOINED(3, FailureCode.UNAVAILABLE),

    /** Another entry instance is the leader. */
    REDIRECTED(4, FailureCode.UNAVAILABLE),

    /** No slot became free in time. */
    OVERLOADED(5, FailureCode.OVERLOADED),

    /** The workspace has reached its ceiling and its queue is full. */
    CEILING_REACHED(6, FailureCode.CEILING_REACHED),

    /** The pool has no endpoint that accepts work. */
    NO_ENDPOINT(7, FailureCode.NO_ENDPOINT);

    /** The number of the status in messages. */
    private final int number;

    /** The failure code of a request that receives this status. */
    private final FailureCode failureCode;

    /**
     * Creates a status.
     *
     * @param number The number of the status in messages.
     * @param failureCode The failure code of a request that receives this status.
     */
    ReplyStatus(int number, FailureCode failureCode) {
        this.number = number;
        this.failureCode = failureCode;
    }

    /**
     * Returns the status of a number.
     *
     * @param number The number.
     * @return The status, or {@link #OVERLOADED} if the number is unknown.
     */
    static ReplyStatus of(int number) {
        return Arrays.stream(values())
                .filter(status -> status.number == number)
                .findFirst()
                .orElse(OVERLOADED);
    }

    /**
     * Returns the number of this status in messages.
     *
     * @return The number.
     */
    int number() {
        return number;
    }

    /**
     * Returns the failure code of a request that receives this status.
     *
     * @return The code.
     */
    FailureCode failureCode() {
        return failureCode;
    }
}
