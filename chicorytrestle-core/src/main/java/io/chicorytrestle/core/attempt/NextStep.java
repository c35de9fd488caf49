package io.chicorytrestle.core.attempt;

import java.util.Locale;

/** Enumerates what may follow a failed attempt. */
public enum NextStep {

    /** The request is sent to another endpoint. */
    REPEAT,

    /** The stream is continued at another endpoint after its last whole event. */
    RESUME,

    /** The caller is told that the request has not run and never will. */
    REFUSE,

    /** The caller is told that the request may have run. */
    FAIL,

    /** The caller's connection is closed, since part of the answer was passed on. */
    CUT;

    /**
     * Returns {@code true} if the request is sent to another endpoint.
     *
     * @return {@code true} if the request is sent to another endpoint.
     */
    public boolean isRetry() {
        return this == REPEAT || this == RESUME;
    }

    /**
     * Returns the name in log lines.
     *
     * @return The name in lower case.
     */
    public String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
