package io.chicorytrestle.bench.quickstart;

/**
 * Tells what the run showed of one promise.
 *
 * @param promise The promise.
 * @param kept Whether it was kept.
 * @param detail What was seen.
 */
record PromiseResult(String promise, boolean kept, String detail) {

    /**
     * Returns this finding as a line.
     *
     * @return The line.
     */
    String format() {
        return "%-6s %-46s %s".formatted(kept ? "kept" : "BROKEN", promise, detail);
    }
}
