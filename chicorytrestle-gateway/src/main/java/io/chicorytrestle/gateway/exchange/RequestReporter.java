package io.chicorytrestle.gateway.exchange;

import com.google.common.flogger.FluentLogger;
import io.chicorytrestle.core.attempt.NextStep;
import io.chicorytrestle.core.placement.Placement;
import io.chicorytrestle.core.placement.Prompt;
import io.chicorytrestle.core.placement.PromptPart;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.gateway.operations.LogFields;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Logs and counts the decisions on one request. */
final class RequestReporter {

    /** Reports decisions. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** What all requests share. */
    private final GatewayContext context;

    /** The request. */
    private final RoutedRequest routed;

    /** The time of arrival in milliseconds. */
    private final long arrivedMillis;

    /**
     * Creates a new report.
     *
     * @param context What all requests share.
     * @param routed The request.
     * @param arrivedMillis The time of arrival in milliseconds.
     */
    RequestReporter(GatewayContext context, RoutedRequest routed, long arrivedMillis) {
        this.context = context;
        this.routed = routed;
        this.arrivedMillis = arrivedMillis;
    }

    /**
     * Reports that an endpoint was chosen.
     *
     * @param placement The endpoint and why it was chosen.
     * @param remainingMillis The time that is left, in milliseconds.
     */
    void reportPlacement(Placement placement, long remainingMillis) {
        LOGGER.atInfo()
                .with(LogFields.REQUEST, routed.request().id())
                .with(LogFields.SERVICE, routed.service())
                .with(LogFields.ENDPOINT, placement.endpoint().incarnation())
                .with(LogFields.REASON, placement.reason().logName())
                .with(LogFields.LOAD, placement.estimatedLoad())
                .with(
                        LogFields.PROMPT_PART,
                        routed.request()
                                .prompt()
                                .flatMap(Prompt::lastSharedPart)
                                .map(PromptPart::id)
                                .orElse(null))
                .with(LogFields.FETCH_FROM, placement.fetchAddress().orElse(null))
                .with(LogFields.VERSION, context.table().version())
                .with(LogFields.REMAINING_MILLIS, remainingMillis)
                .log("request_placed");
        context.metrics().counter("placements_total", placement.reason().logName()).inc();
    }

    /**
     * Reports that an attempt failed, and what follows.
     *
     * @param endpoint The endpoint.
     * @param cause What happened.
     * @param progress Counts attempts.
     * @param next What follows.
     */
    void reportFailedAttempt(
            ServingEndpoint endpoint, String cause, AttemptTracker progress, NextStep next) {
        LOGGER.atInfo()
                .with(LogFields.REQUEST, routed.request().id())
                .with(LogFields.ENDPOINT, endpoint.incarnation())
                .with(LogFields.REASON, cause)
                .with(LogFields.VERDICT, progress.verdict().name())
                .with(LogFields.SENDS, progress.sends())
                .with(LogFields.ELAPSED_MILLIS, elapsedMillis())
                .with(LogFields.OUTCOME, next.logName())
                .log("attempt_failed");
        context.metrics().counter("failed_attempts_total", next.logName()).inc();
    }

    /**
     * Reports the end of the request.
     *
     * @param status The status that the caller received, if any.
     * @param outcome What happened.
     * @param progress Counts attempts.
     */
    void reportEnd(HttpResponseStatus status, String outcome, AttemptTracker progress) {
        context.metrics().histogram("request_ms").update(elapsedMillis());
        context.metrics().counter("requests_total", status.codeAsText().toString()).inc();
        LOGGER.atInfo()
                .with(LogFields.REQUEST, routed.request().id())
                .with(LogFields.ROUTE, routed.route().name())
                .with(LogFields.STATUS, status.code())
                .with(LogFields.OUTCOME, outcome)
                .with(LogFields.VERDICT, progress.verdict().name())
                .with(LogFields.SENDS, progress.sends())
                .with(LogFields.ELAPSED_MILLIS, elapsedMillis())
                .log("request_ended");
    }

    /**
     * Returns the time since the arrival.
     *
     * @return The time in milliseconds.
     */
    private long elapsedMillis() {
        return context.nowMillis() - arrivedMillis;
    }
}
