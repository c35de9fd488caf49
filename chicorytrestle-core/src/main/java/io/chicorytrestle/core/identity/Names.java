package io.chicorytrestle.core.identity;

import java.util.regex.Pattern;

/** Checks the names that operators and callers choose. */
public final class Names {

    /** The most characters that a name may have. */
    public static final int MAXIMUM_LENGTH = 64;

    /** The form of a name. */
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,63}");

    /** Prevents instances. */
    private Names() {}

    /**
     * Returns the given name if it is well-formed.
     *
     * @param what The kind of thing that is named, for the error.
     * @param name The name to check.
     * @return The given name.
     * @throws IllegalArgumentException If the name is empty, too long or holds other characters
     *     than letters, digits, dot, underscore, colon and hyphen.
     */
    public static String require(String what, String name) {
        if (!isValid(name)) {
            throw new IllegalArgumentException("Cannot use as name of " + what + ": " + name);
        }
        return name;
    }

    /**
     * Returns {@code true} if the given name is well-formed.
     *
     * @param name The name to check.
     * @return {@code true} if the name is well-formed.
     */
    public static boolean isValid(String name) {
        return PATTERN.matcher(name).matches();
    }
}
