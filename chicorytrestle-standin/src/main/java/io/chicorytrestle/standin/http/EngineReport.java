package io.chicorytrestle.standin.http;

import io.chicorytrestle.standin.model.EngineLoad;

/**
 * The state and the counters of an engine, as the control interface sends them.
 *
 * @param name The engine's name.
 * @param incarnation The incarnation, which grows by one after each crash.
 * @param alive Whether it is running.
 * @param leaving Whether it refuses new work because it is leaving.
 * @param load Its current load.
 * @param totals Its counters, which are kept over crashes.
 * @param order The last accepted order.
 */
record EngineReport(
        String name,
        long incarnation,
        boolean alive,
        boolean leaving,
        EngineLoad load,
        Totals totals,
        EngineProtocol.Order order) {

    /**
     * Counts requests and tokens. Each {@code with} method returns an updated copy.
     *
     * @param asked The requests to generate that it received, refused and repeated ones included.
     * @param finished The responses that were completed.
     * @param refused The requests that were refused without running.
     * @param cancelled The requests that were cancelled.
     * @param promptTokens The prompt tokens of the completed responses.
     * @param cachedTokens The prompt tokens among them that the prefix cache held.
     */
    record Totals(
            long asked,
            long finished,
            long refused,
            long cancelled,
            long promptTokens,
            long cachedTokens) {

        /** All counters at zero. */
        static final Totals ZERO = new Totals(0, 0, 0, 0, 0, 0);

        /**
         * Counts a received request.
         *
         * @return The updated counters.
         */
        Totals withRequest() {
            return new Totals(asked + 1, finished, refused, cancelled, promptTokens, cachedTokens);
        }

        /**
         * Counts a completed response and its prompt tokens.
         *
         * @param requestPromptTokens The number of prompt tokens.
         * @param requestCachedTokens The number of them that the prefix cache held.
         * @return The updated counters.
         */
        Totals withFinished(int requestPromptTokens, int requestCachedTokens) {
            return new Totals(
                    asked,
                    finished + 1,
                    refused,
                    cancelled,
                    promptTokens + requestPromptTokens,
                    cachedTokens + requestCachedTokens);
        }

        /**
         * Counts a refused request.
         *
         * @return The updated counters.
         */
        Totals withRefused() {
            return new Totals(asked, finished, refused + 1, cancelled, promptTokens, cachedTokens);
        }

        /**
         * Counts a cancelled request.
         *
         * @return The updated counters.
         */
        Totals withCancelled() {
            return new Totals(asked, finished, refused, cancelled + 1, promptTokens, cachedTokens);
        }
    }
}
