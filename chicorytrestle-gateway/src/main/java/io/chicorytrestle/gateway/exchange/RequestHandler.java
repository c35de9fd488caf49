package io.chicorytrestle.gateway.exchange;

import com.google.common.flogger.FluentLogger;
import io.chicorytrestle.core.attempt.RefusalReason;
import io.chicorytrestle.core.placement.RegionRestriction;
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
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Accepts requests, finds their route and workspace, and starts an exchange for each. An instance
 * that has just started holds requests briefly until it receives the routing table and the
 * endpoints.
 */
public final class RequestHandler implements HttpRequestHandler {

    /** Logs refused and rejected requests. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The deadline in milliseconds that is assumed if the caller states none. */
    private static final long DEFAULT_DEADLINE_MILLIS = 1_000;

    /**
     * The longest time in milliseconds for which a request is held; a starting instance receives
     * its state in less.
     */
    private static final long MAXIMUM_WAIT_MILLIS = 500;

    /** The largest share of the caller's deadline for which a request is held. */
    private static final double WAIT_DEADLINE_SHARE = 0.25;

    /** The state that all requests share. */
    private final GatewayContext context;

    /** The region of each availability zone. */
    private final Map<String, String> regionsByZone;

    /** The requests that are held until the state is received, in order of arrival. */
    private final Set<PendingRequest> pendingRequests = new LinkedHashSet<>();

    /** The requests that are to be routed, and the order in which that happens. */
    private final RequestStarter starter;

    /**
     * Whether an endpoint was ever known. If so, none that is missing now is about to be received.
     */
    private boolean hasKnownEndpoints;

    /** Whether requests are refused because the instance is about to exit. */
    private boolean isEnding;

    /**
     * Creates a handler that accepts requests.
     *
     * @param context The state that all requests share.
     * @param regionsByZone The region of each availability zone.
     */
    public RequestHandler(GatewayContext context, Map<String, String> regionsByZone) {
        this.context = context;
        this.regionsByZone = Map.copyOf(regionsByZone);
        starter = new RequestStarter(context);
    }

    /**
     * Refuses all new requests, because they could not be completed before the process is killed.
     */
    public void refuseNewRequests() {
        isEnding = true;
    }

    /**
     * Returns {@code true} if this instance has not received what it needs to route requests.
     *
     * @return {@code true} until it has known a routing table, the evacuated zones and an endpoint,
     *     whether that accepts work or not.
     */
    public boolean isAwaitingState() {
        hasKnownEndpoints |= context.endpoints().hasEndpoints();
        return !hasKnownEndpoints
                || !context.table().isPublished()
                || !context.evacuations().isKnown();
    }

    /** Routes the held requests, unless this instance still awaits its state. */
    public void servePending() {
        if (!isAwaitingState()) {
            List<PendingRequest> waiting = List.copyOf(pendingRequests);
            pendingRequests.clear();
            waiting.forEach(starter::add);
        }
    }

    @Override
    public Runnable handle(HttpRequest head, byte[] body, long arrivedMillis, ResponseSink caller) {
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
        PendingRequest pending = new PendingRequest(request, head, body, caller, arrivedMillis);
        if (isAwaitingState()) {
            pending.awaitState();
        } else {
            starter.add(pending);
        }
        return pending::onCallerDisconnected;
    }

    /**
     * Handles the disconnect of a caller whose request was already answered: there is nothing to
     * cancel.
     */
    private static void ignoreDisconnect() {}

    /**
     * Refuses a request before it is routed. It may be retried later.
     *
     * @param request The request.
     * @param caller Receives the response.
     * @param reason Why the request is refused.
     */
    private void refuse(GatewayRequest request, ResponseSink caller, RefusalReason reason) {
        long remainingMillis = request.deadlineMillis().orElse(DEFAULT_DEADLINE_MILLIS);
        refuse(request, caller, reason, remainingMillis);
    }

    /**
     * Refuses a request before it is routed. It may be retried later.
     *
     * @param request The request.
     * @param caller Receives the response.
     * @param reason Why the request is refused.
     * @param remainingMillis The time until the caller's deadline in milliseconds.
     */
    private void refuse(
            GatewayRequest request,
            ResponseSink caller,
            RefusalReason reason,
            long remainingMillis) {
        long retryAfterMillis =
                Refusals.send(context, new ResponseRelay(caller), reason, 0, remainingMillis);
        LOGGER.atInfo()
                .with(LogFields.REQUEST, request.id())
                .with(LogFields.REASON, reason.logName())
                .with(LogFields.RETRY_AFTER_MILLIS, retryAfterMillis)
                .log("request_refused");
    }

    /**
     * Rejects a request that is malformed or not allowed by the routing table.
     *
     * @param id The identifier of the request, or {@code "unknown"} if it could not be read.
     * @param caller Receives the response.
     * @param status The status to send.
     * @param reason What was rejected and why; sent as the body.
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

    /** A request from its arrival until its exchange starts. */
    private final class PendingRequest implements RequestStarter.Startable {

        /** The request as read from its head. */
        private final GatewayRequest request;

        /** The head as the caller sent it. */
        private final HttpRequest head;

        /** The body as the caller sent it. */
        private final byte[] body;

        /** Receives the response. */
        private final ResponseSink caller;

        /** The time of arrival in milliseconds. */
        private final long arrivedMillis;

        /** Whether the caller has disconnected. */
        private boolean isDisconnected;

        /** The exchange, or empty before the request is routed. */
        private Optional<Exchange> exchange = Optional.empty();

        /**
         * Creates a pending request.
         *
         * @param request The request as read from its head.
         * @param head The head as the caller sent it.
         * @param body The body as the caller sent it.
         * @param caller Receives the response.
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

        /** Holds the request until the state is received or the longest wait is over. */
        private void awaitState() {
            long deadlineMillis = request.deadlineMillis().orElse(DEFAULT_DEADLINE_MILLIS);
            long waitMillis =
                    Math.min(MAXIMUM_WAIT_MILLIS, (long) (deadlineMillis * WAIT_DEADLINE_SHARE));
            pendingRequests.add(this);
            context.reactor()
                    .delayBackground(
                            Math.max(1, waitMillis),
                            () -> {
                                if (pendingRequests.remove(this)) {
                                    start();
                                }
                            });
        }

        @Override
        public long arrivedMillis() {
            return arrivedMillis;
        }

        @Override
        public long deadlineMillis() {
            return request.deadlineMillis().orElse(DEFAULT_DEADLINE_MILLIS);
        }

        @Override
        public void refuseOverdue() {
            long waitedMillis = context.nowMillis() - arrivedMillis;
            refuse(request, caller, RefusalReason.INSTANCE_BEHIND, deadlineMillis() - waitedMillis);
        }

        /**
         * Finds the route, the workspace and the service, and starts the exchange; refuses or
         * rejects the request otherwise.
         */
        @Override
        public void start() {
            RoutingTable table = context.table();
            if (!table.isPublished()) {
                refuse(request, caller, RefusalReason.NO_TABLE);
                return;
            }
            if (!context.evacuations().isKnown()) {
                refuse(request, caller, RefusalReason.NO_EVACUATIONS);
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
            RequestCrashHistory crashHistory =
                    new RequestCrashHistory(
                            context.crashes(),
                            context.partCrashes(),
                            request.prompt(),
                            workspace,
                            head,
                            body);
            if (crashHistory.isQuarantined(context.nowMillis())) {
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
                            new RegionRestriction(
                                    regionsByZone,
                                    route.get().allowedRegions(),
                                    workspace.map(Workspace::allowedRegions).orElse(Set.of())),
                            crashHistory,
                            Optional.empty());
            serve(routed);
        }

        /**
         * Starts the exchange of a request that was routed, once it is known where it may go.
         *
         * @param routed The request, its route and its service.
         */
        private void serve(RoutedRequest routed) {
            if (routed.isTakeUp()) {
                takeUp(routed);
            } else {
                startExchange(routed);
            }
        }

        /**
         * Starts the exchange of a request that resumes a stream, or refuses it: endpoints do not
         * check that they continue what their own version began.
         *
         * @param routed The request.
         */
        private void takeUp(RoutedRequest routed) {
            long deadlineAtMillis = routed.deadlineMillis(arrivedMillis);
            context.streams()
                    .find(
                            routed,
                            deadlineAtMillis - context.nowMillis(),
                            origin -> {
                                if (isDisconnected) {
                                    return;
                                }
                                boolean isServed =
                                        origin.isPresent()
                                                && routed.route().leadsTo(origin.get().service());
                                if (isServed) {
                                    startExchange(routed.resuming(origin.get()));
                                } else {
                                    refuse(
                                            request,
                                            caller,
                                            origin.isPresent()
                                                    ? RefusalReason.STREAM_MOVED
                                                    : RefusalReason.UNKNOWN_STREAM,
                                            deadlineAtMillis - context.nowMillis());
                                }
                            });
        }

        /**
         * Starts the exchange.
         *
         * @param routed The request, its route and its service.
         */
        private void startExchange(RoutedRequest routed) {
            Exchange newExchange = new Exchange(context, routed, caller, arrivedMillis);
            exchange = Optional.of(newExchange);
            newExchange.start();
        }

        /** Drops a held request or cancels the exchange after the caller disconnected. */
        private void onCallerDisconnected() {
            isDisconnected = true;
            pendingRequests.remove(this);
            starter.remove(this);
            exchange.ifPresent(Exchange::onCallerDisconnected);
        }
    }
}
