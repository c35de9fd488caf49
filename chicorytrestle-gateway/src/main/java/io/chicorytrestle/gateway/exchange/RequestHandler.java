package io.chicorytrestle.gateway.exchange;

import com.google.common.flogger.FluentLogger;
import io.chicorytrestle.core.attempt.RefusalReason;
import io.chicorytrestle.core.route.Route;
import io.chicorytrestle.core.route.RoutingTable;
import io.chicorytrestle.core.route.Workspace;
import io.chicorytrestle.gateway.dialect.GatewayRequest;
import io.chicorytrestle.gateway.dialect.MalformedRequestException;
import io.chicorytrestle.gateway.front.Caller;
import io.chicorytrestle.gateway.front.CallerHandler;
import io.chicorytrestle.gateway.operations.LogFields;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/** Admits requests: finds the route and the workspace, and starts an exchange. */
public final class RequestHandler implements CallerHandler {

    /** Reports decisions. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The time in milliseconds that a caller is assumed to have if it stated none. */
    private static final long ASSUMED_DEADLINE_MILLIS = 1_000;

    /** What all requests share. */
    private final GatewayContext context;

    /** Whether requests are refused, since this instance is about to end. */
    private boolean isEnding;

    /**
     * Creates a new handler.
     *
     * @param context What all requests share.
     */
    public RequestHandler(GatewayContext context) {
        this.context = context;
    }

    /** Refuses requests from now on, since they could not be completed before the forced end. */
    public void end() {
        isEnding = true;
    }

    @Override
    public Runnable handle(HttpRequest head, byte[] body, Caller caller) {
        GatewayRequest request;
        try {
            request = context.dialect().read(head);
        } catch (MalformedRequestException exception) {
            reject("unknown", caller, HttpResponseStatus.BAD_REQUEST, exception.reason());
            return RequestHandler::stopNothing;
        }
        RoutingTable table = context.table();
        if (isEnding || !table.isPublished()) {
            refuse(request, caller, isEnding ? RefusalReason.ENDING : RefusalReason.NO_TABLE);
            return RequestHandler::stopNothing;
        }
        Optional<Route> route = table.route(request.host(), request.path());
        if (route.isEmpty()) {
            reject(request.id(), caller, HttpResponseStatus.NOT_FOUND, "no route matches");
            return RequestHandler::stopNothing;
        }
        Optional<Workspace> workspace = request.key().flatMap(table::workspace);
        if (table.requiresKey(route.get()) && workspace.isEmpty()) {
            reject(request.id(), caller, HttpResponseStatus.UNAUTHORIZED, "key is unknown");
            return RequestHandler::stopNothing;
        }
        Exchange exchange =
                new Exchange(context, request, route.get(), workspace, head, body, caller);
        exchange.start();
        return exchange::callerLeft;
    }

    /** Stops nothing, since the request was answered. */
    private static void stopNothing() {}

    /**
     * Refuses a request before it is routed.
     *
     * @param request The request.
     * @param caller The caller.
     * @param reason Why.
     */
    private void refuse(GatewayRequest request, Caller caller, RefusalReason reason) {
        long remainingMillis = request.deadlineMillis().orElse(ASSUMED_DEADLINE_MILLIS);
        long retryAfterMillis =
                reason.retryAfterMillis(remainingMillis, ThreadLocalRandom.current().nextDouble());
        context.metrics().counter("refusals_total", reason.text()).inc();
        LOGGER.atInfo()
                .with(LogFields.REQUEST, request.id())
                .with(LogFields.REASON, reason.text())
                .with(LogFields.RETRY_AFTER_MILLIS, retryAfterMillis)
                .log("request_refused");
        new AnswerRelay(caller)
                .own(HttpResponseStatus.SERVICE_UNAVAILABLE, reason.text(), retryAfterMillis);
    }

    /**
     * Rejects a request that the routing table does not allow.
     *
     * @param id The identifier of the request.
     * @param caller The caller.
     * @param status The status.
     * @param reason What was rejected and why.
     */
    private void reject(String id, Caller caller, HttpResponseStatus status, String reason) {
        context.metrics().counter("rejections_total", status.codeAsText().toString()).inc();
        LOGGER.atInfo()
                .with(LogFields.REQUEST, id)
                .with(LogFields.STATUS, status.code())
                .with(LogFields.REASON, reason)
                .with(LogFields.VERSION, context.table().version())
                .log("request_rejected");
        new AnswerRelay(caller).own(status, reason, 0);
    }
}
