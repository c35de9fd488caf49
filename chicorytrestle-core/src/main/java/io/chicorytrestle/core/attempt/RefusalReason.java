package io.chicorytrestle.core.attempt;

import java.util.Locale;

/**
 * Enumerates why a request is refused before it runs. Each reason carries the delay after which its
 * caller should retry.
 */
public enum RefusalReason {

    /** No routing table is known yet. A process that starts receives one within a second. */
    NO_TABLE(300),

    /**
     * It is not known yet which zones are evacuated. A process that starts learns it with its
     * routing table.
     */
    NO_EVACUATIONS(300),

    /**
     * No endpoint of the service accepts requests. Entries that expired reappear within two
     * seconds, and an endpoint that is replaced starts again within some.
     */
    NO_ENDPOINT(500),

    /** The operator has evacuated every zone in which the service has endpoints. */
    EVACUATED(1_000),

    /** The service has endpoints, but none in a region that the route and the workspace allow. */
    OUTSIDE_REGIONS(1_000),

    /**
     * No connection to an endpoint could be opened. A restart takes seconds, but another zone may
     * be reachable.
     */
    UNREACHABLE(250),

    /** The endpoints rejected the request, since they are overloaded. */
    SHED(150),

    /** All endpoints asked this instance to send them nothing for some time. */
    BACKED_OFF(200),

    /**
     * All endpoints of the service have just started and accept only a few requests, of which this
     * instance has no part left. Another instance may have.
     */
    COLD(250),

    /**
     * The request resumes a stream, and no reachable instance knows which version began it. An
     * instance that has just started meets the others within a second.
     */
    UNKNOWN_STREAM(300),

    /** The request resumes a stream of a service to which its route no longer leads. */
    STREAM_MOVED(1_000),

    /**
     * The request resumes a stream, and no endpoint of the version that began it accepts requests.
     * Entries that expired reappear within two seconds.
     */
    VERSION_GONE(500),

    /** The deadline passed before the request was sent. */
    DEADLINE(0),

    /** The request crashed every endpoint that ran it. */
    QUARANTINED(2_000),

    /**
     * This instance is shutting down; the load balancer already sends new connections to others.
     */
    ENDING(20),

    /**
     * This instance is behind with its work, such as after a restart. A retry reaches another
     * instance.
     */
    INSTANCE_BEHIND(50),

    /** This instance holds as many requests as its memory allows. */
    INSTANCE_FULL(200);

    /**
     * The largest share of the remaining time that the delay may use up. A caller would not retry
     * after a longer delay.
     */
    private static final double MAXIMUM_REMAINING_SHARE = 0.3;

    /**
     * The random part that is added to the delay, as a share of it, so that callers that were
     * refused together do not retry together.
     */
    private static final double JITTER = 0.5;

    /**
     * The shortest time in milliseconds over which the retries of callers are spread that wait for
     * an endpoint to be open again.
     */
    private static final long MINIMUM_SPREAD_MILLIS = 200;

    /** The longest time in milliseconds over which such retries are spread. */
    private static final long MAXIMUM_SPREAD_MILLIS = 1_000;

    /** The delay in milliseconds after which a retry is likely to succeed. */
    private final long retryDelayMillis;

    /**
     * Creates a new reason.
     *
     * @param retryDelayMillis The delay in milliseconds after which a retry is likely to succeed.
     */
    RefusalReason(long retryDelayMillis) {
        this.retryDelayMillis = retryDelayMillis;
    }

    /**
     * Returns the delay after which a caller should retry.
     *
     * @param remainingMillis The time that the caller has left, in milliseconds.
     * @param sample A random number from zero, inclusive, to one, exclusive, that adds jitter.
     * @return The delay in milliseconds, zero if no time is left.
     */
    public long retryAfterMillis(long remainingMillis, double sample) {
        double delayWithJitter = retryDelayMillis * (1 + JITTER * sample);
        return (long)
                Math.max(0, Math.min(delayWithJitter, remainingMillis * MAXIMUM_REMAINING_SHARE));
    }

    /**
     * Returns the delay after which a caller should retry when no endpoint is open before some
     * time. That time is not shortened to what the caller has left, since an earlier retry would be
     * refused again.
     *
     * @param closedMillis The time in milliseconds until the first endpoint is open; zero or less
     *     if one is open.
     * @param remainingMillis The time that the caller has left, in milliseconds.
     * @param sample A random number from zero, inclusive, to one, exclusive, that adds jitter.
     * @return The delay in milliseconds.
     */
    public long retryAfterMillis(long closedMillis, long remainingMillis, double sample) {
        if (closedMillis <= 0) {
            return retryAfterMillis(remainingMillis, sample);
        }
        double spreadMillis =
                Math.min(
                        MAXIMUM_SPREAD_MILLIS,
                        Math.max(MINIMUM_SPREAD_MILLIS, closedMillis * JITTER));
        return closedMillis + (long) (spreadMillis * sample);
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
