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
 * Simulates an engine in virtual time: continuous batching in which requests slow each other down,
 * a priority queue, and a prefix cache that evicts the least recently used chat. It is confined to
 * one thread, and the times that it is given must not decrease.
 */
public final class EngineModel {

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000d;

    /** The remaining work in milliseconds that counts as none, for it may be a rounding error. */
    private static final double ROUNDING_TOLERANCE_MILLIS = 1e-3;

    /** The engine's capacity and speed. */
    private final EngineProfile profile;

    /** The prefix cache. */
    private final PrefixCache prefixCache;

    /** The requests in the batch by identifier, in the order of their start. */
    private final Map<String, SubmittedRequest> runningRequests = new LinkedHashMap<>();

    /**
     * The requests that wait for a batch slot: larger priority first, then in the order of
     * submission.
     */
    private final PriorityQueue<SubmittedRequest> queuedRequests =
            new PriorityQueue<>(
                    Comparator.comparingInt((SubmittedRequest request) -> -request.priority)
                            .thenComparingLong(request -> request.submissionNumber));

    /** The events since the last call of {@link #advance}. */
    private List<EngineEvent> pendingEvents = new ArrayList<>();

    /** The time up to which the model was simulated, in milliseconds. */
    private long currentMillis;

    /** The submission number of the last accepted request, or zero. */
    private long lastSubmissionNumber;

    /**
     * Creates a new, idle engine.
     *
     * @param profile The engine's capacity and speed.
     */
    public EngineModel(EngineProfile profile) {
        this.profile = profile;
        prefixCache = new PrefixCache(profile.cacheTokens());
    }

    /**
     * Submits a request to the engine. Its events are returned by {@link #advance}.
     *
     * @param requestId The request identifier, not submitted before.
     * @param chat The chat, whose cached tokens are reused.
     * @param promptTokens The number of tokens in the complete prompt.
     * @param generatedTokens The number of tokens that the request will generate.
     * @param priority The priority, larger first.
     * @param nowMillis The current time in milliseconds.
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
        if (runningRequests.size() >= profile.batchSlots()
                && queuedRequests.size() >= profile.queueSlots()) {
            return false;
        }
        lastSubmissionNumber++;
        queuedRequests.add(
                new SubmittedRequest(
                        requestId,
                        chat,
                        promptTokens,
                        generatedTokens,
                        priority,
                        lastSubmissionNumber));
        startQueuedRequests();
        return true;
    }

    /**
     * Simulates the engine up to the current time.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The events since the last call, in order.
     */
    public List<EngineEvent> advance(long nowMillis) {
        advanceTo(nowMillis);
        runningRequests.values().forEach(this::reportProgress);
        List<EngineEvent> drainedEvents = pendingEvents;
        pendingEvents = new ArrayList<>();
        return drainedEvents;
    }

    /**
     * Cancels a queued or running request and starts queued ones in the free slot.
     *
     * @param requestId The request identifier.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the request was queued or running.
     */
    public boolean cancel(String requestId, long nowMillis) {
        advanceTo(nowMillis);
        boolean known =
                runningRequests.remove(requestId) != null
                        || queuedRequests.removeIf(request -> request.requestId.equals(requestId));
        startQueuedRequests();
        return known;
    }

    /**
     * Returns the number of running and queued requests.
     *
     * @return The load at the time up to which the model was simulated.
     */
    public EngineLoad load() {
        return new EngineLoad(runningRequests.size(), queuedRequests.size());
    }

    /**
     * Returns the time of the next first token or finish, provided that nothing else is submitted.
     * Queued requests start at one of these times.
     *
     * @return The time in milliseconds, or empty if no request is running.
     */
    public OptionalLong nextEventMillis() {
        double speed = profile.relativeSpeed(runningRequests.size());
        return runningRequests.values().stream()
                .mapToLong(
                        request ->
                                currentMillis
                                        + (long)
                                                Math.ceil(
                                                        request.workUntilNextEventMillis() / speed))
                .min();
    }

    /**
     * Returns the number of tokens of a chat that the prefix cache holds.
     *
     * @param chat The chat.
     * @return The number of tokens, zero if none are held.
     */
    public int exportCache(ChatKey chat) {
        return prefixCache.cachedTokens(chat);
    }

    /**
     * Puts a chat's tokens, computed elsewhere, into the prefix cache.
     *
     * @param chat The chat.
     * @param tokens The number of tokens; ignored unless it is larger than the number that is held
     *     already.
     * @param nowMillis The current time in milliseconds.
     */
    public void importCache(ChatKey chat, int tokens, long nowMillis) {
        advanceTo(nowMillis);
        if (tokens > prefixCache.cachedTokens(chat)) {
            prefixCache.store(chat, tokens, nowMillis);
        }
    }

    /**
     * Returns the retained changes of the prefix cache after a sequence number.
     *
     * @param afterNumber The sequence number of the last event that the reader has, or zero.
     * @param untilMillis The time of the latest event to return, in milliseconds.
     * @return The events in order; only a limited number of the latest ones is retained.
     */
    public List<CacheEvent> cacheEvents(long afterNumber, long untilMillis) {
        return prefixCache.events(afterNumber, untilMillis);
    }

    /**
     * Simulates the batch up to a time, in steps from one change of the batch to the next, for the
     * speed depends on the number of running requests.
     *
     * @param nowMillis The time to advance to, in milliseconds.
     */
    private void advanceTo(long nowMillis) {
        while (currentMillis < nowMillis) {
            long nextMillis = Math.min(nowMillis, nextEventMillis().orElse(nowMillis));
            double work =
                    (nextMillis - currentMillis) * profile.relativeSpeed(runningRequests.size());
            currentMillis = nextMillis;
            for (SubmittedRequest request : List.copyOf(runningRequests.values())) {
                request.remainingWorkMillis -= work;
                finishOrReportFirstToken(request);
            }
            startQueuedRequests();
        }
    }

    /**
     * Finishes a request without remaining work, or reports its first token if there is one.
     *
     * @param request The request.
     */
    private void finishOrReportFirstToken(SubmittedRequest request) {
        if (request.remainingWorkMillis <= ROUNDING_TOLERANCE_MILLIS) {
            runningRequests.remove(request.requestId);
            prefixCache.store(
                    request.chat, request.promptTokens + request.outputTokens, currentMillis);
            Usage usage =
                    new Usage(request.promptTokens, request.cachedTokens, request.outputTokens);
            pendingEvents.add(new EngineEvent.Finished(request.requestId, usage, currentMillis));
        } else if (request.reportedTokens == 0) {
            reportProgress(request);
        }
    }

    /**
     * Adds an event if a request has generated tokens that were not reported yet.
     *
     * @param request The request.
     */
    private void reportProgress(SubmittedRequest request) {
        int tokens = request.generatedSoFar();
        if (tokens > request.reportedTokens) {
            request.reportedTokens = tokens;
            pendingEvents.add(new EngineEvent.Progressed(request.requestId, tokens, currentMillis));
        }
    }

    /** Starts queued requests while batch slots are free. */
    private void startQueuedRequests() {
        while (runningRequests.size() < profile.batchSlots()) {
            SubmittedRequest request = queuedRequests.poll();
            if (request == null) {
                return;
            }
            request.start(profile, prefixCache.cachedTokens(request.chat));
            prefixCache.markUsed(request.chat);
            runningRequests.put(request.requestId, request);
            pendingEvents.add(
                    new EngineEvent.Started(
                            request.requestId, request.cachedTokens, currentMillis));
            if (request.remainingWorkMillis <= ROUNDING_TOLERANCE_MILLIS) {
                finishOrReportFirstToken(request);
            }
        }
    }

    /** A queued or running request. */
    private static final class SubmittedRequest {

        /** The request identifier. */
        private final String requestId;

        /** The chat. */
        private final ChatKey chat;

        /** The number of tokens in the complete prompt. */
        private final int promptTokens;

        /** The number of tokens that the request will generate. */
        private final int outputTokens;

        /** The priority, larger first. */
        private final int priority;

        /** The submission number, which orders requests of the same priority. */
        private final long submissionNumber;

        /** The number of prompt tokens that the prefix cache held at the start. */
        private int cachedTokens;

        /** The number of generated tokens that were reported so far. */
        private int reportedTokens;

        /** The time to generate one token when no other request is running, in milliseconds. */
        private double tokenMillis;

        /** The remaining work, as the milliseconds it takes when no other request is running. */
        private double remainingWorkMillis;

        /**
         * Creates a new queued request.
         *
         * @param requestId The request identifier.
         * @param chat The chat.
         * @param promptTokens The number of tokens in the complete prompt.
         * @param outputTokens The number of tokens that the request will generate.
         * @param priority The priority, larger first.
         * @param submissionNumber The submission number, which orders requests of the same
         *     priority.
         */
        private SubmittedRequest(
                String requestId,
                ChatKey chat,
                int promptTokens,
                int outputTokens,
                int priority,
                long submissionNumber) {
            this.requestId = requestId;
            this.chat = chat;
            this.promptTokens = promptTokens;
            this.outputTokens = outputTokens;
            this.priority = priority;
            this.submissionNumber = submissionNumber;
        }

        /**
         * Computes the work of the request at its start.
         *
         * @param profile The engine's capacity and speed.
         * @param chatTokens The number of tokens of the chat that the prefix cache holds.
         */
        private void start(EngineProfile profile, int chatTokens) {
            cachedTokens = Math.min(chatTokens, promptTokens);
            tokenMillis = MILLIS_PER_SECOND / profile.decodeTokensPerSecond();
            double prefillMillis =
                    (promptTokens - cachedTokens)
                            * MILLIS_PER_SECOND
                            / profile.prefillTokensPerSecond();
            remainingWorkMillis = prefillMillis + outputTokens * tokenMillis;
        }

        /**
         * Returns the number of tokens that were generated so far.
         *
         * @return The number of tokens, zero during prefill.
         */
        private int generatedSoFar() {
            double remainingTokens =
                    Math.ceil((remainingWorkMillis - ROUNDING_TOLERANCE_MILLIS) / tokenMillis);
            return (int) Math.max(0, outputTokens - remainingTokens);
        }

        /**
         * Returns the work until the first token or, once that was reported, until the finish.
         *
         * @return The work, as the milliseconds it takes when no other request is running.
         */
        private double workUntilNextEventMillis() {
            int laterTokens = Math.max(0, outputTokens - 1);
            double workUntilFirstToken = remainingWorkMillis - laterTokens * tokenMillis;
            return reportedTokens == 0 && workUntilFirstToken > ROUNDING_TOLERANCE_MILLIS
                    ? workUntilFirstToken
                    : Math.max(0, remainingWorkMillis);
        }
    }
}
