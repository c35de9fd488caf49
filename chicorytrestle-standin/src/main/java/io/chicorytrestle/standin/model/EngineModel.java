package io.chicorytrestle.standin.model;

import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.core.identity.ChatKey;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;

/**
 * Models an engine in virtual time: a continuous batch whose requests slow each other down, a queue
 * by priority, and a prefix cache that evicts the chat used longest ago. It is confined to one
 * thread, and times must not go back.
 */
public final class EngineModel {

    /** The milliseconds of a second. */
    private static final double MILLIS_PER_SECOND = 1_000d;

    /** The work that rounding may leave over, in milliseconds. */
    private static final double ROUNDING_TOLERANCE_MILLIS = 1e-3;

    /** How much the engine can do. */
    private final EngineProfile profile;

    /** The prefix cache. */
    private final PrefixCache prefixCache;

    /** The requests in the batch by identifier, in the order of their start. */
    private final Map<String, SubmittedRequest> runningRequests = new LinkedHashMap<>();

    /** The requests that wait, the one to start next first. */
    private final PriorityQueue<SubmittedRequest> queuedRequests =
            new PriorityQueue<>(
                    Comparator.comparingInt((SubmittedRequest run) -> -run.priority)
                            .thenComparingLong(run -> run.submissionNumber));

    /** The events since the last call of {@link #advance}. */
    private List<EngineEvent> pendingEvents = new ArrayList<>();

    /** The time that the model has reached, in milliseconds. */
    private long currentMillis;

    /** The number of the request that was submitted last. */
    private long lastSubmissionNumber;

    /**
     * Creates a new, idle engine.
     *
     * @param profile How much the engine can do.
     */
    public EngineModel(EngineProfile profile) {
        this.profile = profile;
        prefixCache = new PrefixCache(profile.cacheTokens());
    }

    /**
     * Hands a request to the engine. What becomes of it is told by {@link #advance}.
     *
     * @param requestId The identifier of the request, unknown to the engine up to now.
     * @param chat The chat whose earlier tokens may be reused.
     * @param promptTokens The tokens of the whole prompt.
     * @param generatedTokens The tokens that the request will generate.
     * @param priority The priority, larger first.
     * @param nowMillis The present time in milliseconds.
     * @return {@code false} if the queue is full, so that the request is refused and does not run.
     */
    public boolean submit(
            String requestId,
            ChatKey chat,
            int promptTokens,
            int generatedTokens,
            int priority,
            long nowMillis) {
        advanceTo(nowMillis);
        if (runningRequests.size() >= profile.batchSlots() && queuedRequests.size() >= profile.queueSlots()) {
            return false;
        }
        lastSubmissionNumber++;
        queuedRequests.add(new SubmittedRequest(requestId, chat, promptTokens, generatedTokens, priority, lastSubmissionNumber));
        startQueuedRequests();
        return true;
    }

    /**
     * Moves the engine on.
     *
     * @param nowMillis The present time in milliseconds.
     * @return What happened since the last call, in order.
     */
    public List<EngineEvent> advance(long nowMillis) {
        advanceTo(nowMillis);
        runningRequests.values().forEach(this::reportProgress);
        List<EngineEvent> drained = pendingEvents;
        pendingEvents = new ArrayList<>();
        return drained;
    }

    /**
     * Gives a request up, waiting or running.
     *
     * @param requestId The identifier of the request.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the engine knew the request and it was not done.
     */
    public boolean cancel(String requestId, long nowMillis) {
        advanceTo(nowMillis);
        boolean known =
                runningRequests.remove(requestId) != null
                        || queuedRequests.removeIf(run -> run.requestId.equals(requestId));
        startQueuedRequests();
        return known;
    }

    /**
     * Returns what the engine carries.
     *
     * @return What the engine carries at the time it was moved to last.
     */
    public EngineLoad load() {
        return new EngineLoad(runningRequests.size(), queuedRequests.size());
    }

    /**
     * Returns the time of the next start, first token or finish if nothing else is submitted.
     *
     * @return The time in milliseconds, or empty if the engine is idle.
     */
    public OptionalLong nextEventMillis() {
        double speed = profile.relativeSpeed(runningRequests.size());
        return runningRequests.values().stream()
                .mapToLong(run -> currentMillis + (long) Math.ceil(run.workUntilNextEventMillis() / speed))
                .min();
    }

    /**
     * Returns the tokens of a chat that the prefix cache holds.
     *
     * @param chat The chat.
     * @return The tokens, or zero.
     */
    public int exportCache(ChatKey chat) {
        return prefixCache.cachedTokens(chat);
    }

    /**
     * Puts a chat's tokens, computed elsewhere, into the prefix cache.
     *
     * @param chat The chat.
     * @param tokens The tokens; fewer than are held already change nothing.
     * @param nowMillis The present time in milliseconds.
     */
    public void importCache(ChatKey chat, int tokens, long nowMillis) {
        advanceTo(nowMillis);
        if (tokens > prefixCache.cachedTokens(chat)) {
            prefixCache.store(chat, tokens, nowMillis);
        }
    }

    /**
     * Returns the latest changes of the prefix cache.
     *
     * @param afterNumber The number of the last event that the reader knows, or zero.
     * @param untilMillis The time up to which events are told, in milliseconds.
     * @return The events in order; old ones are forgotten.
     */
    public List<CacheEvent> cacheEvents(long afterNumber, long untilMillis) {
        return prefixCache.events(afterNumber, untilMillis);
    }

    /**
     * Moves the batch to a time, from one change of the batch to the next.
     *
     * @param nowMillis The time to reach in milliseconds.
     */
    private void advanceTo(long nowMillis) {
        while (currentMillis < nowMillis) {
            long nextMillis = Math.min(nowMillis, nextEventMillis().orElse(nowMillis));
            double work = (nextMillis - currentMillis) * profile.relativeSpeed(runningRequests.size());
            currentMillis = nextMillis;
            for (SubmittedRequest run : List.copyOf(runningRequests.values())) {
                run.remainingWorkMillis -= work;
                finishOrReportFirstToken(run);
            }
            startQueuedRequests();
        }
    }

    /**
     * Reports a first token or ends a request that is done.
     *
     * @param run The request.
     */
    private void finishOrReportFirstToken(SubmittedRequest run) {
        if (run.remainingWorkMillis <= ROUNDING_TOLERANCE_MILLIS) {
            runningRequests.remove(run.requestId);
            prefixCache.store(run.chat, run.promptTokens + run.outputTokens, currentMillis);
            Usage usage = new Usage(run.promptTokens, run.cachedTokens, run.outputTokens);
            pendingEvents.add(new EngineEvent.Finished(run.requestId, usage, currentMillis));
        } else if (run.reportedTokens == 0) {
            reportProgress(run);
        }
    }

    /**
     * Reports the tokens that a request generated and that were not reported yet.
     *
     * @param run The request.
     */
    private void reportProgress(SubmittedRequest run) {
        int tokens = run.generatedSoFar();
        if (tokens > run.reportedTokens) {
            run.reportedTokens = tokens;
            pendingEvents.add(new EngineEvent.Progressed(run.requestId, tokens, currentMillis));
        }
    }

    /** Starts waiting requests while slots are free. */
    private void startQueuedRequests() {
        while (runningRequests.size() < profile.batchSlots()) {
            SubmittedRequest run = queuedRequests.poll();
            if (run == null) {
                return;
            }
            run.start(profile, prefixCache.cachedTokens(run.chat));
            prefixCache.markUsed(run.chat);
            runningRequests.put(run.requestId, run);
            pendingEvents.add(new EngineEvent.Started(run.requestId, run.cachedTokens, currentMillis));
            if (run.remainingWorkMillis <= ROUNDING_TOLERANCE_MILLIS) {
                finishOrReportFirstToken(run);
            }
        }
    }

    /** A request that waits or runs. */
    private static final class SubmittedRequest {

        /** The identifier of the request. */
        private final String requestId;

        /** The chat. */
        private final ChatKey chat;

        /** The tokens of the whole prompt. */
        private final int promptTokens;

        /** The tokens that the request will generate. */
        private final int outputTokens;

        /** The priority, larger first. */
        private final int priority;

        /** Orders requests of the same priority. */
        private final long submissionNumber;

        /** The tokens of the prompt that the cache held at the start. */
        private int cachedTokens;

        /** The tokens that were reported up to now. */
        private int reportedTokens;

        /** The time that one token takes a request alone, in milliseconds. */
        private double tokenMillis;

        /** The work left, in milliseconds of a request alone. */
        private double remainingWorkMillis;

        /**
         * Creates a new request that waits.
         *
         * @param requestId The identifier of the request.
         * @param chat The chat.
         * @param promptTokens The tokens of the whole prompt.
         * @param generatedTokens The tokens that the request will generate.
         * @param priority The priority, larger first.
         * @param number Orders requests of the same priority.
         */
        private SubmittedRequest(
                String requestId,
                ChatKey chat,
                int promptTokens,
                int generatedTokens,
                int priority,
                long number) {
            this.requestId = requestId;
            this.chat = chat;
            this.promptTokens = promptTokens;
            this.outputTokens = generatedTokens;
            this.priority = priority;
            this.submissionNumber = number;
        }

        /**
         * Starts the request.
         *
         * @param profile How much the engine can do.
         * @param heldTokens The tokens that the cache holds of the chat.
         */
        private void start(EngineProfile profile, int heldTokens) {
            cachedTokens = Math.min(heldTokens, promptTokens);
            tokenMillis = MILLIS_PER_SECOND / profile.decodeTokensPerSecond();
            double prefillMillis =
                    (promptTokens - cachedTokens)
                            * MILLIS_PER_SECOND
                            / profile.prefillTokensPerSecond();
            remainingWorkMillis = prefillMillis + outputTokens * tokenMillis;
        }

        /**
         * Returns the tokens that were generated up to now.
         *
         * @return The tokens that were generated up to now.
         */
        private int generatedSoFar() {
            double left = Math.ceil((remainingWorkMillis - ROUNDING_TOLERANCE_MILLIS) / tokenMillis);
            return (int) Math.max(0, outputTokens - left);
        }

        /**
         * Returns the work until the first token or, once it is out, until the end.
         *
         * @return The work in milliseconds of a request alone.
         */
        private double workUntilNextEventMillis() {
            int laterTokens = Math.max(0, outputTokens - 1);
            double untilFirst = remainingWorkMillis - laterTokens * tokenMillis;
            return reportedTokens == 0 && untilFirst > ROUNDING_TOLERANCE_MILLIS
                    ? untilFirst
                    : Math.max(0, remainingWorkMillis);
        }
    }
}
