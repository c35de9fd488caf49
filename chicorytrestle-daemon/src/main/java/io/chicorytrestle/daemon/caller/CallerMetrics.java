package io.chicorytrestle.daemon.caller;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import java.util.concurrent.TimeUnit;

/** Measures what callers experience. Several threads may call it. */
public final class CallerMetrics {

    /** The metrics of the process. */
    private final MetricRegistry registry;

    /** The time from a chat turn's start to its first text. */
    private final Timer timeToFirstToken;

    /** The time between two texts of an answer. */
    private final Timer timeBetweenTokens;

    /** The time from a request's start to its end. */
    private final Timer requestDuration;

    /** The tokens of prompts. */
    private final Histogram promptTokens;

    /** The tokens of prompts that were cached. */
    private final Histogram cachedTokens;

    /** The tokens of answers. */
    private final Histogram generatedTokens;

    /**
     * Creates new metrics.
     *
     * @param registry The metrics of the process.
     */
    public CallerMetrics(MetricRegistry registry) {
        this.registry = registry;
        timeToFirstToken = registry.timer("chats.firstToken");
        timeBetweenTokens = registry.timer("chats.betweenTokens");
        requestDuration = registry.timer("requests.duration");
        promptTokens = registry.histogram("chats.promptTokens");
        cachedTokens = registry.histogram("chats.cachedTokens");
        generatedTokens = registry.histogram("chats.generatedTokens");
    }

    /**
     * Takes note of the first text of an answer.
     *
     * @param millis The milliseconds since the turn's start.
     */
    void onFirstToken(long millis) {
        timeToFirstToken.update(millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Takes note of a further text of an answer.
     *
     * @param millis The milliseconds since the text before.
     */
    void onNextToken(long millis) {
        timeBetweenTokens.update(millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Takes note of a whole answer.
     *
     * @param usage What the answer cost.
     */
    void onUsage(Usage usage) {
        promptTokens.update(usage.promptTokens());
        cachedTokens.update(usage.cachedTokens());
        generatedTokens.update(usage.generatedTokens());
        registry.counter("chats.promptTokensTotal").inc(usage.promptTokens());
        registry.counter("chats.cachedTokensTotal").inc(usage.cachedTokens());
        registry.counter("chats.generatedTokensTotal").inc(usage.generatedTokens());
    }

    /**
     * Takes note of a request that ended.
     *
     * @param verdict The verdict.
     * @param millis The milliseconds since the request's start.
     */
    void onRequestEnd(Verdict verdict, long millis) {
        requestDuration.update(millis, TimeUnit.MILLISECONDS);
        registry.counter("requests.verdict." + CallerResponses.verdictText(verdict)).inc();
    }

    /**
     * Takes note of a failure.
     *
     * @param failure The failure.
     */
    void onFailure(RequestFailureException failure) {
        registry.counter("requests.failure." + failure.code().wireName()).inc();
    }

    /** Takes note of a caller that left before its answer was whole. */
    void onCallerDisconnect() {
        registry.counter("requests.abandoned").inc();
    }

    /** Takes note of an answer that was cut because its caller read too slowly. */
    void onSlowCaller() {
        registry.counter("requests.slowCaller").inc();
    }
}
