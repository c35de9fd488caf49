package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.attempt.RefusalReason;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;

/**
 * Reports the result of a request and sends the end of its response. Exactly one of its methods is
 * called for a request.
 */
final class RequestCompletion {

    /** The state that all requests share. */
    private final GatewayContext context;

    /** Logs and counts the decisions. */
    private final RequestReporter reporter;

    /** Counts the attempts. */
    private final AttemptTracker attempts;

    /** Forwards the response to the caller. */
    private final ResponseRelay relay;

    /**
     * Creates a completion for one request.
     *
     * @param context The state that all requests share.
     * @param reporter Logs and counts the decisions.
     * @param attempts Counts the attempts.
     * @param relay Forwards the response to the caller.
     */
    RequestCompletion(
            GatewayContext context,
            RequestReporter reporter,
            AttemptTracker attempts,
            ResponseRelay relay) {
        this.context = context;
        this.reporter = reporter;
        this.attempts = attempts;
        this.relay = relay;
    }

    /**
     * Forwards a complete response.
     *
     * @param head The endpoint's head.
     * @param body The complete body.
     */
    void complete(HttpResponse head, byte[] body) {
        reporter.reportEnd(head.status(), "answered", attempts);
        relay.sendComplete(head, body);
    }

    /** Ends a response that was forwarded as it arrived. */
    void completeStream() {
        reporter.reportEnd(HttpResponseStatus.OK, "stream_completed", attempts);
        relay.complete();
    }

    /**
     * Sends status 503, which states that the request has not run and never will.
     *
     * @param reason Why the request is refused.
     * @param closedMillis The time in milliseconds until the first endpoint is open, zero if that
     *     is not the reason.
     * @param remainingMillis The time until the caller's deadline in milliseconds.
     */
    void refuse(RefusalReason reason, long closedMillis, long remainingMillis) {
        reporter.reportEnd(
                HttpResponseStatus.SERVICE_UNAVAILABLE, "refused: " + reason.logName(), attempts);
        Refusals.send(context, relay, reason, closedMillis, remainingMillis);
    }

    /**
     * Refuses a request that has not run. If all endpoints that it could be sent to want no
     * requests, that is the reason, and the caller is told when the first one is open again; so is
     * if all are cold.
     *
     * @param reason Why the request is refused otherwise.
     * @param endpoints The endpoints that it could be sent to, possibly none.
     * @param remainingMillis The time until the caller's deadline in milliseconds.
     */
    void refuse(RefusalReason reason, List<ServingEndpoint> endpoints, long remainingMillis) {
        long nowMillis = context.nowMillis();
        long closedMillis = context.backoffs().millisUntilOpen(endpoints, nowMillis).orElse(0);
        RefusalReason openReason =
                context.coldStarts().areAllCold(endpoints, nowMillis) ? RefusalReason.COLD : reason;
        refuse(
                closedMillis > 0 ? RefusalReason.BACKED_OFF : openReason,
                closedMillis,
                remainingMillis);
    }

    /**
     * Sends status 502, which states that the request may have run.
     *
     * @param cause Why the last attempt failed.
     */
    void fail(String cause) {
        reporter.reportEnd(HttpResponseStatus.BAD_GATEWAY, cause, attempts);
        relay.sendGatewayResponse(HttpResponseStatus.BAD_GATEWAY, "request may have run", 0);
    }

    /** Sends status 504 at the deadline of a request that may have run. */
    void timeOut() {
        reporter.reportEnd(HttpResponseStatus.GATEWAY_TIMEOUT, "deadline passed", attempts);
        relay.sendGatewayResponse(HttpResponseStatus.GATEWAY_TIMEOUT, "deadline passed", 0);
    }

    /**
     * Aborts a response whose head was already sent.
     *
     * @param cause Why it cannot be completed.
     */
    void abort(String cause) {
        reporter.reportEnd(HttpResponseStatus.OK, "cut: " + cause, attempts);
        relay.abort();
    }

    /** Reports that the caller disconnected; nothing is sent. */
    void recordCallerDisconnect() {
        reporter.reportEnd(HttpResponseStatus.OK, "caller left", attempts);
    }
}
