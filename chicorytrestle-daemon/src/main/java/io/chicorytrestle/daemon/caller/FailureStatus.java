package io.chicorytrestle.daemon.caller;

import com.google.common.collect.ImmutableSet;
import io.chicorytrestle.core.verdict.FailureCode;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;

/** Maps failure codes to HTTP statuses. */
enum FailureStatus {

    /** The request is malformed. */
    BAD_REQUEST(400, ImmutableSet.of(FailureCode.INVALID_REQUEST)),

    /** The caller is not authenticated. */
    UNAUTHORIZED(401, ImmutableSet.of(FailureCode.UNAUTHENTICATED)),

    /** The caller lacks the permission, or its ticket is refused. */
    FORBIDDEN(403, ImmutableSet.of(FailureCode.FORBIDDEN, FailureCode.TICKET_REFUSED)),

    /** The path, pool or request does not exist. */
    NOT_FOUND(404, ImmutableSet.of(FailureCode.NOT_FOUND)),

    /** The request body is too large. */
    TOO_LARGE(413, ImmutableSet.of(FailureCode.TOO_LARGE)),

    /** The request is well-formed, but quarantined because it crashed engines. */
    UNPROCESSABLE(422, ImmutableSet.of(FailureCode.QUARANTINED)),

    /** The workspace exceeds its request ceiling. */
    TOO_MANY_REQUESTS(429, ImmutableSet.of(FailureCode.CEILING_REACHED)),

    /** An internal fault. */
    INTERNAL(500, ImmutableSet.of(FailureCode.INTERNAL)),

    /** An endpoint or another entry instance failed. */
    BAD_GATEWAY(
            502,
            ImmutableSet.of(
                    FailureCode.ENDPOINT_FAILED,
                    FailureCode.ANSWER_CUT,
                    FailureCode.OUTCOME_UNKNOWN)),

    /** The fleet cannot serve the request at the moment. */
    UNAVAILABLE(
            503,
            ImmutableSet.of(
                    FailureCode.OVERLOADED, FailureCode.NO_ENDPOINT, FailureCode.UNAVAILABLE)),

    /** The deadline cannot be met. */
    TIMEOUT(504, ImmutableSet.of(FailureCode.DEADLINE));

    /** The statuses by failure code. */
    private static final Map<FailureCode, FailureStatus> BY_CODE = byCode();

    /** The HTTP status code. */
    private final int statusCode;

    /** The failure codes that are reported with this status. */
    private final ImmutableSet<FailureCode> failureCodes;

    /**
     * Creates a status.
     *
     * @param statusCode The HTTP status code.
     * @param failureCodes The failure codes that are reported with this status.
     */
    FailureStatus(int statusCode, ImmutableSet<FailureCode> failureCodes) {
        this.statusCode = statusCode;
        this.failureCodes = failureCodes;
    }

    /**
     * Returns the HTTP status code of a failure code.
     *
     * @param code The failure code.
     * @return The HTTP status code, 500 for a failure code without a status.
     */
    static int statusCodeOf(FailureCode code) {
        return BY_CODE.getOrDefault(code, INTERNAL).statusCode;
    }

    /**
     * Builds the index of the statuses by failure code.
     *
     * @return The statuses by failure code.
     */
    private static Map<FailureCode, FailureStatus> byCode() {
        Map<FailureCode, FailureStatus> statuses = new EnumMap<>(FailureCode.class);
        Arrays.stream(values())
                .forEach(status -> status.failureCodes.forEach(code -> statuses.put(code, status)));
        return statuses;
    }
}
