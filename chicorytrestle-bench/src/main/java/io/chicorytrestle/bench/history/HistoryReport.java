package io.chicorytrestle.bench.history;

import java.util.List;

/**
 * Holds the result of one history.
 *
 * @param operations The number of operations that callers attempted.
 * @param nonIdempotent The number of these operations that are not idempotent.
 * @param inDoubt The number of operations whose callers ended without knowing whether they ran.
 * @param violations The violated guarantees; empty if the history is correct.
 */
public record HistoryReport(
        int operations, int nonIdempotent, int inDoubt, List<Violation> violations) {

    /** Creates a report with a copy of the violations. */
    public HistoryReport {
        violations = List.copyOf(violations);
    }
}
