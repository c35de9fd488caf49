package io.chicorytrestle.core.poison;

/**
 * Holds the settings of the guard against requests that crash endpoints.
 *
 * @param suspicionMillis How long a request stays a suspect unless an execution confirms or clears
 *     it, in milliseconds.
 * @param quarantineMillis How long a request is refused after its second crash, in milliseconds.
 * @param leaseMillis The duration of a suspect's leases, in milliseconds.
 * @param leaseRequestTimeoutMillis How long to wait for another entry instance to reply to the
 *     request for a lease, in milliseconds.
 * @param maximumSuspects The maximum number of suspected or refused requests.
 */
public record PoisonSettings(
        long suspicionMillis,
        long quarantineMillis,
        long leaseMillis,
        long leaseRequestTimeoutMillis,
        int maximumSuspects) {

    /** The default settings of an entry instance. */
    public static final PoisonSettings DEFAULT =
            new PoisonSettings(600_000, 600_000, 60_000, 1_000, 1_024);
}
