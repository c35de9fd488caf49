package io.chicorytrestle.bench.history;

/**
 * Describes the violation of a guarantee.
 *
 * @param promise The violated guarantee.
 * @param detail The time and the observation that violates it.
 */
public record Violation(Guarantee promise, String detail) {

    /**
     * Enumerates the guarantees that a history is checked for. The names appear in descriptions of
     * failing histories.
     */
    public enum Guarantee {

        /** A call that is not idempotent is executed at most once. */
        AT_MOST_ONCE("doubleRuns"),

        /**
         * A request that is reported as not run was not executed, and one that is reported as run
         * was.
         */
        TRUE_VERDICT("falseNotRun"),

        /** A caller receives the complete response to its own request, and nothing else. */
        OWN_WHOLE_ANSWER("foreignOrPartialAnswers"),

        /** The version of the table in force at an instance never decreases. */
        MONOTONIC_TABLE("tableReversions"),

        /** A graceful shutdown interrupts no request. */
        WHOLE_SHUTDOWN("cutByShutdown"),

        /** A leaving endpoint receives no new work after a few seconds. */
        NO_WORK_AFTER_LEAVING("workAfterLeaving"),

        /** Each request is answered before the history ends. */
        ANSWERED("unanswered");

        /** The key under which the report counts violations. */
        private final String metricName;

        /**
         * Creates a guarantee.
         *
         * @param metricName The key under which the report counts violations.
         */
        Guarantee(String metricName) {
            this.metricName = metricName;
        }

        /**
         * Returns the key under which the report counts violations of this guarantee.
         *
         * @return The key in the JSON report.
         */
        public String metricName() {
            return metricName;
        }
    }
}
