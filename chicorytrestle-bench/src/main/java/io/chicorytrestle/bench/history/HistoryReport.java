package io.chicorytrestle.bench.history;

import java.util.List;

/**
 * Holds what one history showed.
 *
 * @param operations The operations that callers began.
 * @param nonIdempotent The operations among them that are not idempotent.
 * @param inDoubt The operations whose callers never learned whether they ran.
 * @param violations The broken promises.
 */
public record HistoryReport(
        int operations, int nonIdempotent, int inDoubt, List<Violation> violations) {

    /** Creates a new report. */
    public HistoryReport {
        violations = List.copyOf(violations);
    }
}
