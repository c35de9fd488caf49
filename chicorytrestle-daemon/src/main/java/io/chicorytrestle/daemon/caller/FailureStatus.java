package io.chicorytrestle.daemon.caller;

import com.google.common.collect.ImmutableSet;
import io.chicorytrestle.core.verdict.FailureCode;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;

/** Enumerates the statuses by which failures are reported over HTTP. */
enum FailureStatus {

    /** The request itself is at fault. */
    BAD_REQUEST(400, ImmutableSet.of(FailureCode.INVALID_REQUEST)),

    /** The caller is unknown. */
    UNAUTHORIZED(401, ImmutableSet.of(FailureCode.UNAUTHENTICATED)),

    /** The caller may not do this. */
    FORBIDDEN(403, ImmutableSet.of(FailureCode.FORBIDDEN, FailureCode.TICKET_REFUSED)),

    /** The named thing does not exist. */
    NOT_FOUND(404, ImmutableSet.of(FailureCode.NOT_FOUND)),

    /** The request is too large. */
    TOO_LARGE(413, ImmutableSet.of(FailureCode.TOO_LARGE)),

    /** The request is understood and held back. */
    UNPROCESSABLE(422, ImmutableSet.of(FailureCode.QUARANTINED)),

    /** The workspace asks for too much. */
    TOO_MANY_REQUESTS(429, ImmutableSet.of(FailureCode.CEILING_REACHED)),

    /** The system itself is at fault. */
    INTERNAL(500, ImmutableSet.of(FailureCode.INTERNAL)),

    /** An endpoint or another entry instance is at fault. */
    BAD_GATEWAY(
            502,
            ImmutableSet.of(
                    FailureCode.ENDPOINT_FAILED,
                    FailureCode.ANSWER_CUT,
                    FailureCode.OUTCOME_UNKNOWN)),

    /** The system cannot serve now. */
    UNAVAILABLE(
            503,
            ImmutableSet.of(
                    FailureCode.OVERLOADED, FailureCode.NO_ENDPOINT, FailureCode.UNAVAILABLE)),

    /** The deadline cannot be met. */
    TIMEOUT(504, ImmutableSet.of(FailureCode.DEADLINE));

    /** The statuses by code. */
    private static final Map<FailureCode, FailureStatus> BY_CODE = byCode();

    /** The number of the status. */
    private final int statusCode;

    /** The codes that are reported by the status. */
    private final ImmutableSet<FailureCode> failureCodes;

    /**
     * Creates a new status.
     *
     * @param number The number of the status.
     * @param codes The codes that are reported by the status.
     */
    FailureStatus(int number, ImmutableSet<FailureCode> codes) {
        this.statusCode = number;
        this.failureCodes = codes;
    }

    /**
     * Returns the status of a code.
     *
     * @param code The code.
     * @return The number of the status.
     */
    static int statusCodeOf(FailureCode code) {
        return BY_CODE.getOrDefault(code, INTERNAL).statusCode;
    }

    /**
     * Returns the statuses by code.
     *
     * @return The statuses by code.
     */
    private static Map<FailureCode, FailureStatus> byCode() {
        Map<FailureCode, FailureStatus> statuses = new EnumMap<>(FailureCode.class);
        Arrays.stream(values())
                .forEach(status -> status.failureCodes.forEach(code -> statuses.put(code, status)));
        return statuses;
    }
}
