package io.chicorytrestle.core.poison;

/**
 * Holds the settings of the guard against poison.
 *
 * @param suspicionMillis How long a request is suspected without a run, in milliseconds.
 * @param quarantineMillis How long a request is refused, in milliseconds.
 * @param leaseMillis How long a suspect may run alone, in milliseconds.
 * @param leaseRequestTimeoutMillis How long another entry instance is asked for a turn, in
 *     milliseconds.
 * @param maximumSuspects The most requests that something is held against.
 */
public record PoisonSettings(
        long suspicionMillis,
        long quarantineMillis,
        long leaseMillis,
        long leaseRequestTimeoutMillis,
        int maximumSuspects) {

    /** The settings of an ordinary entry instance. */
    public static final PoisonSettings DEFAULT =
            new PoisonSettings(600_000, 600_000, 60_000, 1_000, 1_024);
}
