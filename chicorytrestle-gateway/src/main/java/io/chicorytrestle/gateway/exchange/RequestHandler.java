package io.chicorytrestle.gateway.exchange;

import com.google.common.flogger.FluentLogger;
import io.chicorytrestle.core.attempt.RefusalReason;
import io.chicorytrestle.core.route.Route;
import io.chicorytrestle.core.route.RoutingTable;
import io.chicorytrestle.core.route.Workspace;
import io.chicorytrestle.gateway.dialect.GatewayRequest;
import io.chicorytrestle.gateway.dialect.MalformedRequestException;
import io.chicorytrestle.gateway.front.HttpRequestHandler;
import io.chicorytrestle.gateway.front.ResponseSink;
import io.chicorytrestle.gateway.operations.LogFields;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Admits requests: finds the route and the workspace, and starts an exchange. A process that has
 * just started holds requests for the moment in which it learns the routing table.
 */
public final class RequestHandler implements HttpRequestHandler {

    /** Reports decisions. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The time in milliseconds that a caller is assumed to have if it stated none. */
    private static final long DEFAULT_DEADLINE_MILLIS = 1_000;

    /** The time in milliseconds for which a request is held: a start learns the table in less. */
    private static final long MAXIMUM_WAIT_MILLIS = 500;

    /** The share of a caller's time for which a request is held at the most. */
    private static final double WAIT_DEADLINE_SHARE = 0.25;

    /** What all requests share. */
    private final GatewayContext context;

    /** The requests that wait for the routing table, in order of arrival. */
    private final Set<PendingRequest> pendingRequests = new LinkedHashSet<>();

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
    public void refuseNewRequests() {
        isEnding = true;
    }

    /** Serves the requests that waited, if the routing table and endpoints are known now. */
    public void servePending() {
        if (context.isReadyToRoute()) {
            List<PendingRequest> waiting = List.copyOf(pendingRequests);
            pendingRequests.clear();
            waiting.forEach(PendingRequest::routeAndServe);
        }
    }

    @Override
    public Runnable handle(HttpRequest head, byte[] body, ResponseSink caller) {
        GatewayRequest request;
        try {
            request = context.dialect().read(head);
        } catch (MalformedRequestException exception) {
            reject("unknown", caller, HttpResponseStatus.BAD_REQUEST, exception.reason());
            return RequestHandler::ignoreDisconnect;
        }
        if (isEnding) {
            refuse(request, caller, RefusalReason.ENDING);
            return RequestHandler::ignoreDisconnect;
        }
        PendingRequest arrived =
                new PendingRequest(request, head, body, caller, context.nowMillis());
        if (context.isReadyToRoute()) {
            arrived.routeAndServe();
        } else {
            arrived.awaitRoutingTable();
        }
        return arrived::onCallerDisconnected;
    }

    /** Stops nothing, since the request was answered. */
    private static void ignoreDisconnect() {}

    /**
     * Refuses a request before it is routed.
     *
     * @param request The request.
     * @param caller The caller.
     * @param reason Why.
     */
    private void refuse(GatewayRequest request, ResponseSink caller, RefusalReason reason) {
        long remainingMillis = request.deadlineMillis().orElse(DEFAULT_DEADLINE_MILLIS);
        long retryAfterMillis =
                Refusals.send(context, new ResponseRelay(caller), reason, remainingMillis);
        LOGGER.atInfo()
                .with(LogFields.REQUEST, request.id())
                .with(LogFields.REASON, reason.logName())
                .with(LogFields.RETRY_AFTER_MILLIS, retryAfterMillis)
                .log("request_refused");
    }

    /**
     * Rejects a request that the routing table does not allow.
     *
     * @param id The identifier of the request.
     * @param caller The caller.
     * @param status The status.
     * @param reason What was rejected and why.
     */
    private void reject(String id, ResponseSink caller, HttpResponseStatus status, String reason) {
        context.metrics().counter("rejections_total", status.codeAsText().toString()).inc();
        LOGGER.atInfo()
                .with(LogFields.REQUEST, id)
                .with(LogFields.STATUS, status.code())
                .with(LogFields.REASON, reason)
                .with(LogFields.VERSION, context.table().version())
                .log("request_rejected");
        new ResponseRelay(caller).sendGatewayResponse(status, reason, 0);
    }

    /** A request that arrived, until it is routed. */
    private final class PendingRequest {

        /** The request. */
        private final GatewayRequest request;

        /** The head as the caller sent it. */
        private final HttpRequest head;

        /** The body. */
        private final byte[] body;

        /** Receives the answer. */
        private final ResponseSink caller;

        /** The time of arrival in milliseconds. */
        private final long arrivedMillis;

        /** The exchange, or empty before the request is routed. */
        private Optional<Exchange> exchange = Optional.empty();

        /**
         * Creates a new arrival.
         *
         * @param request The request.
         * @param head The head as the caller sent it.
         * @param body The body.
         * @param caller Receives the answer.
         * @param arrivedMillis The time of arrival in milliseconds.
         */
        private PendingRequest(
                GatewayRequest request,
                HttpRequest head,
                byte[] body,
                ResponseSink caller,
                long arrivedMillis) {
            this.request = request;
            this.head = head;
            this.body = body;
            this.caller = caller;
            this.arrivedMillis = arrivedMillis;
        }

        /** Waits for the routing table. */
        private void awaitRoutingTable() {
            long deadlineMillis = request.deadlineMillis().orElse(DEFAULT_DEADLINE_MILLIS);
            long holdMillis =
                    Math.min(MAXIMUM_WAIT_MILLIS, (long) (deadlineMillis * WAIT_DEADLINE_SHARE));
            pendingRequests.add(this);
            context.reactor()
                    .delayBackground(
                            Math.max(1, holdMillis),
                            () -> {
                                if (pendingRequests.remove(this)) {
                                    routeAndServe();
                                }
                            });
        }

        /** Routes the request. */
        private void routeAndServe() {
            RoutingTable table = context.table();
            if (!table.isPublished()) {
                refuse(request, caller, RefusalReason.NO_TABLE);
                return;
            }
            Optional<Route> route = table.route(request.host(), request.path());
            if (route.isEmpty()) {
                reject(request.id(), caller, HttpResponseStatus.NOT_FOUND, "no route matches");
                return;
            }
            Optional<Workspace> workspace = request.apiKey().flatMap(table::workspace);
            if (table.requiresKey(route.get()) && workspace.isEmpty()) {
                reject(request.id(), caller, HttpResponseStatus.UNAUTHORIZED, "key is unknown");
                return;
            }
            RequestCrashHistory suspicion =
                    new RequestCrashHistory(context.crashes(), workspace, head, body);
            if (suspicion.isQuarantined(context.nowMillis())) {
                refuse(request, caller, RefusalReason.QUARANTINED);
                return;
            }
            RoutedRequest routed =
                    new RoutedRequest(
                            request,
                            route.get(),
                            route.get().selectService(RequestSampler.sample(request.id())),
                            new EndpointRequestBuilder(
                                    context.dialect(), workspace, route.get(), head, body),
                            suspicion);
            Exchange begun = new Exchange(context, routed, caller, arrivedMillis);
            exchange = Optional.of(begun);
            begun.start();
        }

        /** Stops work for a caller that left. */
        private void onCallerDisconnected() {
            pendingRequests.remove(this);
            exchange.ifPresent(Exchange::onCallerDisconnected);
        }
    }
}
