package io.chicorytrestle.bench.quickstart;

import java.util.Map;
import java.util.TreeMap;

/** Counts the outcomes of chat turns. Several threads may write it. */
final class ChatStatistics {

    /** The most characters of a problem that are kept. */
    private static final int MAXIMUM_PROBLEM_CHARACTERS = 160;

    /** The most different problems that are kept. */
    private static final int MAXIMUM_PROBLEMS = 8;

    /** The part of a ratio that is printed, in one over this number. */
    private static final double PERCENT = 100d;

    /** Why turns were tried again, and how often. */
    private final Map<String, Integer> problems = new TreeMap<>();

    /** The answers that ended early, by entry instance. */
    private final Map<String, Long> truncatedResponses = new TreeMap<>();

    /** The turns with a whole answer. */
    private long recordComplete;

    /** The answers that were not the own one. */
    private long mismatchedResponses;

    /** The tries that were made again. */
    private long retries;

    /** The turns that never got a whole answer. */
    private long recordFailure;

    /** The turns of chats that returned. */
    private long returningTurns;

    /** The tokens of the prompts of returning turns. */
    private long promptTokens;

    /** The tokens among them that were cached. */
    private long cachedTokens;

    /**
     * Counts a whole answer.
     *
     * @param answer The answer.
     * @param own Whether it is the answer to the caller's own request.
     * @param returned Whether the chat had earlier turns.
     */
    synchronized void recordComplete(FleetClient.ChatResponse answer, boolean own, boolean returned) {
        recordComplete++;
        mismatchedResponses += own ? 0 : 1;
        if (returned) {
            returningTurns++;
            promptTokens += answer.promptTokens();
            cachedTokens += answer.cachedTokens();
        }
    }

    /**
     * Counts a piece of an answer that belongs to nobody's own request.
     *
     * @param text The text.
     */
    synchronized void recordForeignText(String text) {
        mismatchedResponses++;
        recordProblem("foreign text: " + text);
    }

    /**
     * Counts a try that is made again.
     *
     * @param daemon The name of the entry instance that was asked.
     * @param answer What it answered.
     */
    synchronized void recordRetry(String daemon, FleetClient.ChatResponse answer) {
        retries++;
        if (answer.truncated()) {
            truncatedResponses.merge(daemon, 1L, Long::sum);
        }
        recordProblem(answer.problem());
    }

    /**
     * Returns how many answers of an entry instance ended early.
     *
     * @param daemon The name of the entry instance.
     * @return The answers that began and were not whole.
     */
    synchronized long truncatedResponses(String daemon) {
        return truncatedResponses.getOrDefault(daemon, 0L);
    }

    /**
     * Counts a turn that never got a whole answer.
     *
     * @param chat The chat.
     */
    synchronized void recordFailure(String chat) {
        recordFailure++;
        recordProblem("gave up: " + chat);
    }

    /**
     * Returns the turns with a whole answer.
     *
     * @return The turns with a whole answer.
     */
    synchronized long completeTurns() {
        return recordComplete;
    }

    /**
     * Judges the answers.
     *
     * @return Whether every answer was whole and its own.
     */
    synchronized PromiseResult checkResponses() {
        return new PromiseResult(
                "every answer is whole and its own",
                mismatchedResponses == 0 && recordFailure == 0 && recordComplete > 0,
                "%d turns whole, %d not their own, %d never answered, %d tries repeated"
                        .formatted(recordComplete, mismatchedResponses, recordFailure, retries));
    }

    /**
     * Tells how much earlier work was reused.
     *
     * @return The finding, which holds whatever the ratio is.
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
     * Returns why turns were tried again.
     *
     * @return The problems and how often each was met.
     */
    synchronized Map<String, Integer> problems() {
        return new TreeMap<>(problems);
    }

    /**
     * Takes note of a problem.
     *
     * @param problem The problem.
     */
    private void recordProblem(String problem) {
        String text = problem.replaceAll(".*\"code\":\"([a-z_]*)\".*", "$1");
        String shortened = text.substring(0, Math.min(MAXIMUM_PROBLEM_CHARACTERS, text.length()));
        if (problems.size() < MAXIMUM_PROBLEMS || problems.containsKey(shortened)) {
            problems.merge(shortened, 1, Integer::sum);
        }
    }
}
