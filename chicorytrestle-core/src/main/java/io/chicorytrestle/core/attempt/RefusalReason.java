package io.chicorytrestle.core.attempt;

import java.util.Locale;

/** Enumerates why a request is refused before it ran, and when its caller may come back. */
public enum RefusalReason {

    /** No routing table is known yet. A process that starts learns one within a second. */
    NO_TABLE(300),

    /** No endpoint of the service is known. Entries that lapsed are back within two seconds. */
    NO_ENDPOINT(500),

    /** The endpoints could not be connected to. A restart takes seconds, another zone may serve. */
    UNREACHABLE(250),

    /** The endpoints turned the request away, since they are full. */
    SHED(150),

    /** The deadline passed before the request was sent. */
    DEADLINE(0),

    /** The request crashed every endpoint that ran it. */
    QUARANTINED(2_000),

    /** This instance is about to end; the balancer already sends new connections elsewhere. */
    ENDING(20),

    /** This instance holds as many requests as its memory allows. */
    INSTANCE_FULL(200);

    /** The share of the remaining time after which a caller would not come back any more. */
    private static final double MAXIMUM_REMAINING_SHARE = 0.3;

    /** The spread of the returns of callers that were refused together, as a share of the delay. */
    private static final double JITTER = 0.5;

    /** The delay in milliseconds after which another try is sensible. */
    private final long retryDelayMillis;

    /**
     * Creates a new reason.
     *
     * @param delayMillis The delay in milliseconds after which another try is sensible.
     */
    RefusalReason(long delayMillis) {
        this.retryDelayMillis = delayMillis;
    }

    /**
     * Returns the delay after which a caller should come back.
     *
     * @param remainingMillis The time that the caller has left, in milliseconds.
     * @param draw A number from zero, inclusive, to one, exclusive, that spreads the returns.
     * @return The delay in milliseconds.
     */
    public long retryAfterMillis(long remainingMillis, double draw) {
        double spread = retryDelayMillis * (1 + JITTER * draw);
        return (long) Math.max(0, Math.min(spread, remainingMillis * MAXIMUM_REMAINING_SHARE));
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
