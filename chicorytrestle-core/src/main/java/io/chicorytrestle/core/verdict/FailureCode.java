package io.chicorytrestle.core.verdict;

import java.util.Locale;

/** Enumerates the stable codes by which a failed request is reported to its caller. */
public enum FailureCode {

    /** The request was malformed. */
    INVALID_REQUEST,

    /** The caller's key is unknown. */
    UNAUTHENTICATED,

    /** The workspace is not permitted to make the request. */
    FORBIDDEN,

    /** The requested resource does not exist. */
    NOT_FOUND,

    /** The request exceeds the size limit. */
    TOO_LARGE,

    /** The workspace has reached its ceiling of requests. */
    CEILING_REACHED,

    /** Every endpoint of the pool is at its limit. */
    OVERLOADED,

    /** The deadline has passed or cannot be met. */
    DEADLINE,

    /** No endpoint of the pool is reachable. */
    NO_ENDPOINT,

    /** The entry instance is not ready to serve or is shutting down. */
    UNAVAILABLE,

    /** The request is quarantined because endpoints crashed while they executed it. */
    QUARANTINED,

    /** The ticket is forged, expired or issued to another workspace. */
    TICKET_REFUSED,

    /** The instance that stored the outcome is gone. */
    OUTCOME_UNKNOWN,

    /** The endpoint failed while it executed the request. */
    ENDPOINT_FAILED,

    /** The answer ended before it was complete. */
    ANSWER_CUT,

    /** An internal fault of the system. */
    INTERNAL;

    /**
     * Returns the code as it is reported to callers.
     *
     * @return The name of the constant in lower case, with underscores.
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
