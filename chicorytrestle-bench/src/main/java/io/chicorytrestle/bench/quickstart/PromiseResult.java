package io.chicorytrestle.bench.quickstart;

/**
 * The result of checking one promise of the quickstart.
 *
 * @param promise The promise in words.
 * @param kept Whether it was kept.
 * @param detail The observed numbers.
 */
record PromiseResult(String promise, boolean kept, String detail) {

    /**
     * Formats this result as a line for the console.
     *
     * @return The line without a line separator.
     */
    String format() {
        return "%-6s %-46s %s".formatted(kept ? "kept" : "BROKEN", promise, detail);
    }
}
