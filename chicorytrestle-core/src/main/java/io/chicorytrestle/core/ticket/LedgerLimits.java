package io.chicorytrestle.core.ticket;

/**
 * Holds the limits of a ledger.
 *
 * @param maximumEntries The maximum number of tickets with an entry.
 * @param maximumBytes The maximum number of bytes stored and reserved for bodies.
 * @param maximumBodyBytes The maximum size of a stored body in bytes, two for each character; it is
 *     reserved for each claim.
 * @param retentionMillis The time for which an outcome is kept after its ticket expired, in
 *     milliseconds; it is evicted earlier if the ledger is full.
 * @param fullRetryAfterMillis The retry delay advised to callers when the ledger is full, in
 *     milliseconds.
 */
public record LedgerLimits(
        int maximumEntries,
        long maximumBytes,
        int maximumBodyBytes,
        long retentionMillis,
        long fullRetryAfterMillis) {

    /**
     * The default limits: 20,000 tickets, 32 MiB of bodies, 32 KiB for one body, retention of ten
     * minutes, retry after one second.
     */
    public static final LedgerLimits DEFAULT =
            new LedgerLimits(20_000, 32L << 20, 32 << 10, 600_000, 1_000);

    /**
     * Creates new limits.
     *
     * @throws IllegalArgumentException If {@code maximumEntries} or {@code maximumBodyBytes} is
     *     below one, or {@code maximumBytes} below {@code maximumBodyBytes}.
     */
    public LedgerLimits {
        if (maximumEntries < 1 || maximumBodyBytes < 1 || maximumBytes < maximumBodyBytes) {
            throw new IllegalArgumentException(
                    "Invalid ledger limits: maximumEntries "
                            + maximumEntries
                            + ", maximumBytes "
                            + maximumBytes);
        }
    }
}
