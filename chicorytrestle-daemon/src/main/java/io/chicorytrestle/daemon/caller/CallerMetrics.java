package io.chicorytrestle.daemon.caller;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import java.util.concurrent.TimeUnit;

/**
 * Records latencies, token counts, verdicts and failures of callers' requests. It is thread-safe.
 */
public final class CallerMetrics {

    /** The registry in which the metrics are created. */
    private final MetricRegistry registry;

    /** The time from a chat turn's start to its first text. */
    private final Timer timeToFirstToken;

    /** The time between two consecutive texts of a response. */
    private final Timer timeBetweenTokens;

    /** The time from a request's start to its end. */
    private final Timer requestDuration;

    /** The number of prompt tokens of each response. */
    private final Histogram promptTokens;

    /** The number of prompt tokens that were served from a prefix cache. */
    private final Histogram cachedTokens;

    /** The number of generated tokens of each response. */
    private final Histogram generatedTokens;

    /**
     * Creates the metrics and registers them.
     *
     * @param registry The registry in which the metrics are created.
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
     * Records the first text of a response.
     *
     * @param millis The milliseconds since the turn's start.
     */
    void onFirstToken(long millis) {
        timeToFirstToken.update(millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Records a further text of a response.
     *
     * @param millis The milliseconds since the previous text.
     */
    void onNextToken(long millis) {
        timeBetweenTokens.update(millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Records the token usage of a complete response.
     *
     * @param usage The token usage of the response.
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
     * Records a request that ended.
     *
     * @param verdict The verdict reported to the caller.
     * @param millis The milliseconds since the request's start.
     */
    void onRequestEnd(Verdict verdict, long millis) {
        requestDuration.update(millis, TimeUnit.MILLISECONDS);
        registry.counter("requests.verdict." + CallerResponses.verdictText(verdict)).inc();
    }

    /**
     * Counts a failure under its code.
     *
     * @param failure The failure.
     */
    void onFailure(RequestFailureException failure) {
        registry.counter("requests.failure." + failure.code().wireName()).inc();
    }

    /** Records a caller that disconnected before its response was complete. */
    void onCallerDisconnect() {
        registry.counter("requests.abandoned").inc();
    }

    /** Records a response that was aborted because its caller read too slowly. */
    void onSlowCaller() {
        registry.counter("requests.slowCaller").inc();
    }
}
