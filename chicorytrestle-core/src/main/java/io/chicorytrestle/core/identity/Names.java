package io.chicorytrestle.core.identity;

import java.util.regex.Pattern;

/** Validates names that operators and callers choose. */
public final class Names {

    /** The maximum length of a name in characters. */
    public static final int MAXIMUM_LENGTH = 64;

    /** Matches well-formed names. */
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,63}");

    /** Prevents instances. */
    private Names() {}

    /**
     * Returns the given name if it is well-formed.
     *
     * @param what The kind of thing that is named, for the error message.
     * @param name The name to check.
     * @return The given name.
     * @throws IllegalArgumentException If the name is empty, too long, starts with neither a letter
     *     nor a digit, or contains other characters than letters, digits, dots, underscores, colons
     *     and hyphens.
     */
    public static String require(String what, String name) {
        if (!isValid(name)) {
            throw new IllegalArgumentException(
                    "Cannot use malformed name of " + what + ": " + name);
        }
        return name;
    }

    /**
     * Checks if the given name is well-formed.
     *
     * @param name The name to check.
     * @return {@code true} if the name is well-formed.
     */
    public static boolean isValid(String name) {
        return PATTERN.matcher(name).matches();
    }
}
