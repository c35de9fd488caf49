package io.chicorytrestle.core.ticket;

/**
 * Bounds a ledger.
 *
 * @param maximumEntries The most tickets to keep.
 * @param maximumBytes The most bytes of bodies to keep or to reserve.
 * @param maximumBodyBytes The most bytes of one body to keep.
 * @param retentionMillis How long an outcome is kept after its ticket expired, if there is room, in
 *     milliseconds.
 * @param fullRetryAfterMillis The delay advised to callers when the ledger is full, in
 *     milliseconds.
 */
public record LedgerLimits(
        int maximumEntries,
        long maximumBytes,
        int maximumBodyBytes,
        long retentionMillis,
        long fullRetryAfterMillis) {

    /** The limits of an ordinary entry instance. */
    public static final LedgerLimits DEFAULT =
            new LedgerLimits(20_000, 32L << 20, 32 << 10, 600_000, 1_000);

    /**
     * Creates new limits.
     *
     * @throws IllegalArgumentException If a limit is below one.
     */
    public LedgerLimits {
        if (maximumEntries < 1 || maximumBodyBytes < 1 || maximumBytes < maximumBodyBytes) {
            throw new IllegalArgumentException(
                    "Cannot use limits of ledger: " + maximumEntries + ", " + maximumBytes);
        }
    }
}
