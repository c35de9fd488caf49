package io.chicorytrestle.core.attempt;

import java.util.Locale;

/** Enumerates what may follow a failed attempt. */
public enum NextStep {

    /** The request is sent to another endpoint. */
    REPEAT,

    /** The stream is continued at another endpoint after its last complete event. */
    RESUME,

    /** The caller receives an error that says that the request has not run and never will. */
    REFUSE,

    /** The caller receives an error that says that the request may have run. */
    FAIL,

    /**
     * The caller's connection is closed, since part of the answer was already forwarded and no
     * error can be sent in its place.
     */
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
     * Returns the name that is written to the log.
     *
     * @return The name of the constant in lower case.
     */
    public String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
