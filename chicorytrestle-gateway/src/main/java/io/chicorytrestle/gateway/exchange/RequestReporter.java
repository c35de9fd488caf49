package io.chicorytrestle.gateway.exchange;

import com.google.common.flogger.FluentLogger;
import io.chicorytrestle.core.attempt.NextStep;
import io.chicorytrestle.core.placement.Placement;
import io.chicorytrestle.core.placement.Prompt;
import io.chicorytrestle.core.placement.PromptPart;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.gateway.link.BodyFraming;
import io.chicorytrestle.gateway.operations.LogFields;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jspecify.annotations.Nullable;

/** Logs and counts the decisions on one request. */
final class RequestReporter {

    /** Writes one line per decision. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Supplies the clock, the metrics and the version of the routing table. */
    private final GatewayContext context;

    /** The request, its route and its service. */
    private final RoutedRequest routed;

    /** Supplies the number of bytes of an incomplete event. */
    private final ResponseRelay relay;

    /** The framing of the latest response of an endpoint for logs, or null before the first one. */
    private @Nullable String framing;

    /** The time of arrival in milliseconds. */
    private final long arrivedMillis;

    /**
     * Creates a reporter for one request.
     *
     * @param context Supplies the clock, the metrics and the version of the routing table.
     * @param routed The request, its route and its service.
     * @param relay Supplies the number of bytes of an incomplete event.
     * @param arrivedMillis The time of arrival in milliseconds.
     */
    RequestReporter(
            GatewayContext context, RoutedRequest routed, ResponseRelay relay, long arrivedMillis) {
        this.context = context;
        this.routed = routed;
        this.relay = relay;
        this.arrivedMillis = arrivedMillis;
    }

    /**
     * Reports that an endpoint was chosen.
     *
     * @param placement The endpoint and the reason for the choice.
     * @param remainingMillis The time until the deadline in milliseconds.
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
     * Counts a response of an endpoint, and keeps its framing for the lines that follow.
     *
     * @param responseFraming How the response declares the end of its body.
     */
    void reportResponse(BodyFraming responseFraming) {
        framing = responseFraming.logName();
        context.metrics().counter("endpoint_responses_total", framing).inc();
    }

    /**
     * Reports that an endpoint wants no requests for longer than before.
     *
     * @param endpoint The endpoint.
     * @param backoffMillis The time in milliseconds that it asked for.
     */
    void reportBackoff(ServingEndpoint endpoint, long backoffMillis) {
        LOGGER.atInfo()
                .with(LogFields.REQUEST, routed.request().id())
                .with(LogFields.SERVICE, routed.service())
                .with(LogFields.ENDPOINT, endpoint.incarnation())
                .with(LogFields.RETRY_AFTER_MILLIS, backoffMillis)
                .log("endpoint_backed_off");
        context.metrics().counter("endpoint_backoffs_total").inc();
    }

    /**
     * Reports that an attempt failed, and the next step.
     *
     * @param endpoint The endpoint of the attempt.
     * @param cause Why the attempt failed.
     * @param attempts Counts the attempts.
     * @param next The next step.
     */
    void reportFailedAttempt(
            ServingEndpoint endpoint, String cause, AttemptTracker attempts, NextStep next) {
        LOGGER.atInfo()
                .with(LogFields.REQUEST, routed.request().id())
                .with(LogFields.ENDPOINT, endpoint.incarnation())
                .with(LogFields.REASON, cause)
                .with(LogFields.VERDICT, attempts.verdict().name())
                .with(LogFields.SENDS, attempts.sends())
                .with(LogFields.FRAMING, framing)
                .with(LogFields.PARTIAL_EVENT_BYTES, relay.partialEventBytes())
                .with(LogFields.ELAPSED_MILLIS, elapsedMillis())
                .with(LogFields.OUTCOME, next.logName())
                .log("attempt_failed");
        context.metrics().counter("failed_attempts_total", next.logName()).inc();
    }

    /**
     * Reports the end of the request.
     *
     * @param status The status that was sent to the caller; 200 if the caller disconnected before
     *     one was sent.
     * @param outcome How the request ended.
     * @param attempts Counts the attempts.
     */
    void reportEnd(HttpResponseStatus status, String outcome, AttemptTracker attempts) {
        context.metrics().histogram("request_ms").update(elapsedMillis());
        context.metrics().counter("requests_total", status.codeAsText().toString()).inc();
        LOGGER.atInfo()
                .with(LogFields.REQUEST, routed.request().id())
                .with(LogFields.ROUTE, routed.route().name())
                .with(LogFields.STATUS, status.code())
                .with(LogFields.OUTCOME, outcome)
                .with(LogFields.VERDICT, attempts.verdict().name())
                .with(LogFields.SENDS, attempts.sends())
                .with(LogFields.FRAMING, framing)
                .with(LogFields.PARTIAL_EVENT_BYTES, relay.partialEventBytes())
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
