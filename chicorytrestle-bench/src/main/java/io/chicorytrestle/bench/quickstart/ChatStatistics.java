package io.chicorytrestle.bench.quickstart;

import java.util.Map;
import java.util.TreeMap;

/** Counts the outcomes of chat turns. Safe for use by several threads. */
final class ChatStatistics {

    /** The length to which problems are truncated, in characters. */
    private static final int MAXIMUM_PROBLEM_CHARACTERS = 160;

    /** The maximum number of distinct problems that are kept. */
    private static final int MAXIMUM_PROBLEMS = 8;

    /** The factor from a ratio to a percentage. */
    private static final double PERCENT = 100d;

    /** The number of failed attempts by problem. */
    private final Map<String, Integer> problems = new TreeMap<>();

    /** The number of truncated responses by name of the entry instance. */
    private final Map<String, Long> truncatedResponses = new TreeMap<>();

    /** The number of turns with a complete response. */
    private long completeTurns;

    /** The number of responses that contained text of another request. */
    private long mismatchedResponses;

    /** The number of failed attempts. */
    private long retries;

    /** The number of turns that never received a complete response. */
    private long failedTurns;

    /** The number of completed turns whose chat had earlier turns. */
    private long returningTurns;

    /** The prompt tokens of returning turns. */
    private long promptTokens;

    /** The prompt tokens of returning turns that were served from a cache. */
    private long cachedTokens;

    /**
     * Counts a complete response.
     *
     * @param response The response.
     * @param own Whether its text is the one expected for the request.
     * @param returned Whether the chat had earlier turns.
     */
    synchronized void recordComplete(
            FleetClient.ChatResponse response, boolean own, boolean returned) {
        completeTurns++;
        mismatchedResponses += own ? 0 : 1;
        if (returned) {
            returningTurns++;
            promptTokens += response.promptTokens();
            cachedTokens += response.cachedTokens();
        }
    }

    /**
     * Counts a partial response whose text doesn't belong to the caller's request.
     *
     * @param text The unexpected text.
     */
    synchronized void recordForeignText(String text) {
        mismatchedResponses++;
        recordProblem("foreign text: " + text);
    }

    /**
     * Counts a failed attempt.
     *
     * @param daemon The name of the entry instance that was called.
     * @param response The incomplete response.
     */
    synchronized void recordRetry(String daemon, FleetClient.ChatResponse response) {
        retries++;
        if (response.truncated()) {
            truncatedResponses.merge(daemon, 1L, Long::sum);
        }
        recordProblem(response.problem());
    }

    /**
     * Returns the number of truncated responses from an entry instance.
     *
     * @param daemon The name of the entry instance.
     * @return The number of responses that started but didn't complete.
     */
    synchronized long truncatedResponses(String daemon) {
        return truncatedResponses.getOrDefault(daemon, 0L);
    }

    /**
     * Counts a turn that failed after all attempts.
     *
     * @param chat The workspace and the name of the chat.
     */
    synchronized void recordFailure(String chat) {
        failedTurns++;
        recordProblem("gave up: " + chat);
    }

    /**
     * Returns the number of turns with a complete response.
     *
     * @return The number of turns.
     */
    synchronized long completeTurns() {
        return completeTurns;
    }

    /**
     * Checks that every turn received a complete response to its own request.
     *
     * @return The result, which fails if no turn completed, too.
     */
    synchronized PromiseResult checkResponses() {
        return new PromiseResult(
                "every answer is whole and its own",
                mismatchedResponses == 0 && failedTurns == 0 && completeTurns > 0,
                "%d turns whole, %d not their own, %d never answered, %d tries repeated"
                        .formatted(completeTurns, mismatchedResponses, failedTurns, retries));
    }

    /**
     * Reports the share of prompt tokens that were served from a cache.
     *
     * @return The result, which is informational and always kept.
     */
    synchronized PromiseResult reportReuse() {
        double ratio = promptTokens == 0 ? 0 : PERCENT * cachedTokens / promptTokens;
        return new PromiseResult(
                "earlier work is reused",
                true,
                "%.1f%% of the prompt tokens of %d returning turns came from a cache"
                        .formatted(ratio, returningTurns));
    }

    /**
     * Returns the problems of failed attempts.
     *
     * @return A copy of the problems with the number of occurrences of each.
     */
    synchronized Map<String, Integer> problems() {
        return new TreeMap<>(problems);
    }

    /**
     * Counts a problem, reduced to the error code if it contains one.
     *
     * @param problem The description of the problem.
     */
    private void recordProblem(String problem) {
        String text = problem.replaceAll(".*\"code\":\"([a-z_]*)\".*", "$1");
        String shortened = text.substring(0, Math.min(MAXIMUM_PROBLEM_CHARACTERS, text.length()));
        if (problems.size() < MAXIMUM_PROBLEMS || problems.containsKey(shortened)) {
            problems.merge(shortened, 1, Integer::sum);
        }
    }
}
