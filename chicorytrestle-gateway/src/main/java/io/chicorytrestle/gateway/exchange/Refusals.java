package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.attempt.RefusalReason;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.ThreadLocalRandom;

/** Tells callers that a request has not run and never will, and when to come back. */
final class Refusals {

    /** Not to be created. */
    private Refusals() {}

    /**
     * Counts and sends a refusal.
     *
     * @param context What all requests share.
     * @param relay Sends the answer.
     * @param reason Why.
     * @param remainingMillis The time that the caller has left, in milliseconds.
     * @return The delay after which the caller is asked to come back, in milliseconds.
     */
    static long send(
            GatewayContext context,
            ResponseRelay relay,
            RefusalReason reason,
            long remainingMillis) {
        long retryAfterMillis =
                reason.retryAfterMillis(remainingMillis, ThreadLocalRandom.current().nextDouble());
        context.metrics().counter("refusals_total", reason.logName()).inc();
        relay.sendGatewayResponse(
                HttpResponseStatus.SERVICE_UNAVAILABLE, reason.logName(), retryAfterMillis);
        return retryAfterMillis;
    }
}
