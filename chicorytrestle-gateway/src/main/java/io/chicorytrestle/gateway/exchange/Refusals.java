package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.attempt.RefusalReason;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.ThreadLocalRandom;

/** Sends responses which state that a request has not run and never will, and when to retry. */
final class Refusals {

    /** Prevents instantiation. */
    private Refusals() {}

    /**
     * Counts and sends a refusal with status 503.
     *
     * @param context Counts the refusal.
     * @param relay Sends the response.
     * @param reason Why the request is refused.
     * @param closedMillis The time in milliseconds until the first endpoint is open, zero if that
     *     is not the reason.
     * @param remainingMillis The time until the caller's deadline in milliseconds.
     * @return The delay in milliseconds after which the caller is asked to retry, chosen at random.
     */
    static long send(
            GatewayContext context,
            ResponseRelay relay,
            RefusalReason reason,
            long closedMillis,
            long remainingMillis) {
        long retryAfterMillis =
                reason.retryAfterMillis(
                        closedMillis, remainingMillis, ThreadLocalRandom.current().nextDouble());
        context.metrics().counter("refusals_total", reason.logName()).inc();
        relay.sendGatewayResponse(
                HttpResponseStatus.SERVICE_UNAVAILABLE, reason.logName(), retryAfterMillis);
        return retryAfterMillis;
    }
}
