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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Admits requests: finds the route and the workspace, and starts an exchange. A process that has
 * just started holds requests for the moment in which it learns the routing table.
 */
public final class RequestHandler implements CallerHandler {

    /** Reports decisions. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The time in milliseconds that a caller is assumed to have if it stated none. */
    private static final long ASSUMED_DEADLINE_MILLIS = 1_000;

    /** The time in milliseconds for which a request is held: a start learns the table in less. */
    private static final long LONGEST_HOLD_MILLIS = 500;

    /** The share of a caller's time for which a request is held at the most. */
    private static final double HOLD_SHARE = 0.25;

    /** What all requests share. */
    private final GatewayContext context;

    /** The requests that wait for the routing table, in order of arrival. */
    private final Set<Held> held = new LinkedHashSet<>();

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

    /** Serves the requests that waited, if the routing table and endpoints are known now. */
    public void informed() {
        if (context.isInformed()) {
            List<Held> waiting = List.copyOf(held);
            held.clear();
            waiting.forEach(Held::serve);
        }
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
        if (isEnding) {
            refuse(request, caller, RefusalReason.ENDING);
            return RequestHandler::stopNothing;
        }
        Held arrived = new Held(request, head, body, caller, context.nowMillis());
        if (context.isInformed()) {
            arrived.serve();
        } else {
            arrived.hold();
        }
        return arrived::callerLeft;
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
                Refusals.send(context, new AnswerRelay(caller), reason, remainingMillis);
        LOGGER.atInfo()
                .with(LogFields.REQUEST, request.id())
                .with(LogFields.REASON, reason.text())
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

    /** A request that arrived, until it is routed. */
    private final class Held {

        /** The request. */
        private final GatewayRequest request;

        /** The head as the caller sent it. */
        private final HttpRequest head;

        /** The body. */
        private final byte[] body;

        /** Receives the answer. */
        private final Caller caller;

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
        private Held(
                GatewayRequest request,
                HttpRequest head,
                byte[] body,
                Caller caller,
                long arrivedMillis) {
            this.request = request;
            this.head = head;
            this.body = body;
            this.caller = caller;
            this.arrivedMillis = arrivedMillis;
        }

        /** Waits for the routing table. */
        private void hold() {
            long deadlineMillis = request.deadlineMillis().orElse(ASSUMED_DEADLINE_MILLIS);
            long holdMillis = Math.min(LONGEST_HOLD_MILLIS, (long) (deadlineMillis * HOLD_SHARE));
            held.add(this);
            context.reactor()
                    .delayBackground(
                            Math.max(1, holdMillis),
                            () -> {
                                if (held.remove(this)) {
                                    serve();
                                }
                            });
        }

        /** Routes the request. */
        private void serve() {
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
            Optional<Workspace> workspace = request.key().flatMap(table::workspace);
            if (table.requiresKey(route.get()) && workspace.isEmpty()) {
                reject(request.id(), caller, HttpResponseStatus.UNAUTHORIZED, "key is unknown");
                return;
            }
            CrashSuspicion suspicion = new CrashSuspicion(context.crashes(), workspace, head, body);
            if (suspicion.isQuarantined(context.nowMillis())) {
                refuse(request, caller, RefusalReason.QUARANTINED);
                return;
            }
            RoutedRequest routed =
                    new RoutedRequest(
                            request,
                            route.get(),
                            route.get().service(RequestDraw.of(request.id())),
                            new RequestWriter(
                                    context.dialect(), workspace, route.get(), head, body),
                            suspicion);
            Exchange begun = new Exchange(context, routed, caller, arrivedMillis);
            exchange = Optional.of(begun);
            begun.start();
        }

        /** Stops work for a caller that left. */
        private void callerLeft() {
            held.remove(this);
            exchange.ifPresent(Exchange::callerLeft);
        }
    }
}
