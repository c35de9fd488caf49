package io.chicorytrestle.core.peer;

import java.util.Arrays;

/** Ranks messages between entry instances; the first rank is sent first. */
public enum MessagePriority {

    /** A message that a request waits for. */
    REQUEST(0),

    /** A message that keeps a promise, such as a new table version or a leaving endpoint. */
    PROMPT(1),

    /** A message that may be late, such as a summary of load. */
    BACKGROUND(2);

    /** The number that names the rank between entry instances. */
    private final int number;

    /**
     * Creates a new rank.
     *
     * @param number The number that names the rank between entry instances.
     */
    MessagePriority(int number) {
        this.number = number;
    }

    /**
     * Returns the rank that a number names.
     *
     * @param number The number.
     * @return The rank; the last one if this version does not know it.
     */
    public static MessagePriority of(int number) {
        return Arrays.stream(values())
                .filter(urgency -> urgency.number == number)
                .findFirst()
                .orElse(BACKGROUND);
    }

    /**
     * Returns the number that names the rank between entry instances.
     *
     * @return The number that names the rank.
     */
    public int number() {
        return number;
    }
}
