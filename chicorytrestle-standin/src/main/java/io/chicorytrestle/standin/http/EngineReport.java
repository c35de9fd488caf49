package io.chicorytrestle.standin.http;

import io.chicorytrestle.standin.model.EngineLoad;

/**
 * Reports what an engine does and did.
 *
 * @param name The name.
 * @param incarnation The number of the run.
 * @param alive Whether it runs.
 * @param leaving Whether it is leaving.
 * @param load What it carries.
 * @param totals What it did in all its runs.
 * @param order The order that was obeyed last.
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
     * Counts what an engine did.
     *
     * @param asked The requests for an answer that reached it, refused ones included.
     * @param finished The answers that were finished.
     * @param refused The requests that were refused.
     * @param cancelled The requests that were cancelled.
     * @param promptTokens The tokens of the finished answers' prompts.
     * @param cachedTokens The tokens among them that the cache held.
     */
    record Totals(
            long asked,
            long finished,
            long refused,
            long cancelled,
            long promptTokens,
            long cachedTokens) {

        /** Nothing. */
        static final Totals ZERO = new Totals(0, 0, 0, 0, 0, 0);

        /**
         * Counts a request.
         *
         * @return The new counts.
         */
        Totals withRequest() {
            return new Totals(asked + 1, finished, refused, cancelled, promptTokens, cachedTokens);
        }

        /**
         * Counts a finished answer.
         *
         * @param prompt The tokens of the prompt.
         * @param cached The tokens that the cache held.
         * @return The new counts.
         */
        Totals withFinished(int prompt, int cached) {
            return new Totals(
                    asked,
                    finished + 1,
                    refused,
                    cancelled,
                    promptTokens + prompt,
                    cachedTokens + cached);
        }

        /**
         * Counts a refused request.
         *
         * @return The new counts.
         */
        Totals withRefused() {
            return new Totals(asked, finished, refused + 1, cancelled, promptTokens, cachedTokens);
        }

        /**
         * Counts a cancelled request.
         *
         * @return The new counts.
         */
        Totals withCancelled() {
            return new Totals(asked, finished, refused, cancelled + 1, promptTokens, cachedTokens);
        }
    }
}
