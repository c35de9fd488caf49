package io.chicorytrestle.bench.history;

/**
 * Describes a broken promise.
 *
 * @param guarantee The promise.
 * @param detail What was seen.
 */
public record Violation(Guarantee guarantee, String detail) {

    /** Enumerates the promises that a history is checked for. */
    public enum Guarantee {

        /** A call that is not idempotent is executed at most once. */
        AT_MOST_ONCE("doubleRuns"),

        /** What is reported as not run did not run; what is reported as run ran. */
        TRUE_VERDICT("falseNotRun"),

        /** A caller receives the whole answer to its own request. */
        OWN_WHOLE_ANSWER("foreignOrPartialAnswers"),

        /** The table in force never becomes an older one. */
        MONOTONIC_TABLE("tableReversions"),

        /** A graceful shutdown cuts no request. */
        WHOLE_SHUTDOWN("cutByShutdown"),

        /** An endpoint that leaves receives no new work after a few seconds. */
        NO_WORK_AFTER_LEAVING("workAfterLeaving"),

        /** Each request is answered. */
        ANSWERED("unanswered");

        /** The name of the figure that counts violations. */
        private final String metricName;

        /**
         * Creates a new promise.
         *
         * @param figure The name of the figure that counts violations.
         */
        Guarantee(String figure) {
            this.metricName = figure;
        }

        /**
         * Returns the name of the figure that counts violations.
         *
         * @return The name of the figure that counts violations.
         */
        public String metricName() {
            return metricName;
        }
    }
}
