package io.chicorytrestle.core.peer;

import java.util.Arrays;

/** Enumerates the priorities of messages between entry instances, highest first. */
public enum MessagePriority {

    /** A message that a request waits for. */
    REQUEST(0),

    /**
     * A message that must arrive soon to keep a guarantee, such as a new table version or a leaving
     * endpoint.
     */
    PROMPT(1),

    /** A message that may be delayed, such as a summary of load. */
    BACKGROUND(2);

    /** The number that identifies the priority in messages. */
    private final int number;

    /**
     * Creates a new priority.
     *
     * @param number The number that identifies the priority in messages.
     */
    MessagePriority(int number) {
        this.number = number;
    }

    /**
     * Returns the priority of a number.
     *
     * @param number The number.
     * @return The priority, or the lowest one if this version doesn't know the number.
     */
    public static MessagePriority of(int number) {
        return Arrays.stream(values())
                .filter(priority -> priority.number == number)
                .findFirst()
                .orElse(BACKGROUND);
    }

    /**
     * Returns the number that identifies the priority in messages.
     *
     * @return The number, which is part of the wire format.
     */
    public int number() {
        return number;
    }
}
