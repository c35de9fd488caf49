package io.chicorytrestle.daemon.caller;

import com.google.common.flogger.FluentLogger;
import io.activej.bytebuf.ByteBuf;
import io.activej.common.exception.InvalidSizeException;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.table.Table;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import io.chicorytrestle.daemon.log.LogScope;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CompletionException;
import java.util.logging.Level;
import org.jspecify.annotations.Nullable;

/**
 * Assigns an identifier to each request of callers at one event loop, authenticates it, limits its
 * size and the number in flight, routes it and logs its outcome.
 */
final class CallerServlet implements AsyncServlet {

    /** The logger of this class. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * The delay before a retry that is advised to callers while the process cannot serve, in
     * milliseconds.
     */
    private static final long UNAVAILABLE_RETRY_AFTER_MILLIS = 1_000;

    /** The event loop of the callers' connections. */
    private final Eventloop loop;

    /** The collaborators of this servlet. */
    private final CallerDependencies dependencies;

    /** Routes requests by method and path. */
    private final RoutingServlet routes;

    /**
     * Creates a servlet.
     *
     * @param loop The event loop of the callers' connections.
     * @param dependencies The collaborators of this servlet.
     */
    CallerServlet(Eventloop loop, CallerDependencies dependencies) {
        this.loop = loop;
        this.dependencies = dependencies;
        CallerHandler tickets = new TicketHandler(dependencies);
        CallerHandler calls = new ServiceCallHandler(dependencies);
        routes =
                RoutingServlet.builder(loop)
                        .with(
                                HttpMethod.POST,
                                "/v1/chat/completions",
                                authenticated(new ChatHandler(dependencies)))
                        .with(HttpMethod.POST, "/v1/tickets", authenticated(tickets))
                        .with(HttpMethod.GET, "/v1/tickets/:ticket", authenticated(tickets))
                        .with(
                                HttpMethod.POST,
                                "/v1/services/:pool/:operation",
                                authenticated(calls))
                        .with(HttpMethod.GET, "/v1/services/:pool/:operation", authenticated(calls))
                        .with("/*", request -> Promise.ofException(unknownPath()))
                        .build();
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest http) {
        long startMillis = dependencies.clock().nowMillis();
        RequestContext context = new RequestContext(dependencies.requestIds().next(), startMillis);
        http.attach(RequestContext.class, context);
        if (!dependencies.requestLimiter().tryAcquire()) {
            return Promise.of(
                    recordFailure(
                            context,
                            RequestFailureException.notRun(
                                            FailureCode.OVERLOADED,
                                            "Cannot take more requests at this entry instance")
                                    .withRetryAfterMillis(UNAVAILABLE_RETRY_AFTER_MILLIS)));
        }
        CallerConnectionTracker.connectionOf(http)
                .onRequestStarted(dependencies.requestLimiter()::release);
        return route(http)
                .then(
                        response -> Promise.of(recordResponse(context, response)),
                        exception ->
                                Promise.of(recordFailure(context, toFailure(context, exception))));
    }

    /**
     * Routes a request unless the process is draining.
     *
     * @param http The request.
     * @return The response, or the failure that an exception of a route was turned into.
     */
    private Promise<HttpResponse> route(HttpRequest http) {
        if (dependencies.requestLimiter().isDraining()) {
            return Promise.ofException(unavailable("Cannot serve while shutting down"));
        }
        try {
            return routes.serve(http);
        } catch (Exception exception) {
            return Promise.ofException(exception);
        }
    }

    /**
     * Returns a servlet that authenticates a request, receives its body and passes it to a handler.
     *
     * @param handler The handler.
     * @return The servlet.
     */
    private AsyncServlet authenticated(CallerHandler handler) {
        return http -> {
            RequestContext context = http.getAttachment(RequestContext.class);
            WorkspaceKeys keys = dependencies.blackboard().read(WorkspaceKeys.TOPIC);
            requireTableAndKeys(keys);
            String workspace =
                    keys.authenticate(http.getHeader(HttpHeaders.AUTHORIZATION))
                            .orElseThrow(CallerServlet::unauthenticated);
            long deadlineMillis =
                    context.startMillis()
                            + CallerRequest.parseDeadlineMillis(
                                    http,
                                    dependencies.settings().callers().defaultDeadlineMillis());
            requireBodySize(http, dependencies.settings().callers().maximumBodyBytes());
            return http.loadBody(dependencies.settings().callers().maximumBodyBytes())
                    .then(
                            body -> {
                                CallerConnectionTracker.connectionOf(http).onRequestReceived();
                                return handler.handle(
                                        new CallerRequest(
                                                context.requestId(),
                                                workspace,
                                                http,
                                                bodyText(body),
                                                context.startMillis(),
                                                deadlineMillis,
                                                loop));
                            });
        };
    }

    /**
     * Refuses requests until this entry instance has a table and workspace keys, and while its
     * table may be outdated.
     *
     * @param keys The workspace keys in force.
     * @throws RequestFailureException If the table or the keys are missing, or the table is older
     *     than the minimum version.
     */
    private void requireTableAndKeys(WorkspaceKeys keys) throws RequestFailureException {
        Table table = dependencies.blackboard().read(Topics.TABLE);
        if (keys.revision() == 0 || table.version() == 0) {
            throw unavailable("Cannot serve before table and keys were learned");
        }
        if (!dependencies.blackboard().read(Topics.MINIMUM_TABLE_VERSION).allows(table)) {
            throw unavailable("Cannot serve under a table that may be too old");
        }
    }

    /**
     * Refuses a request whose Content-Length exceeds the limit.
     *
     * @param http The request.
     * @param maximumBytes The maximum length of a body in bytes.
     * @throws RequestFailureException If the body is too long or the length is not a number.
     */
    private static void requireBodySize(HttpRequest http, int maximumBytes)
            throws RequestFailureException {
        String length = http.getHeader(HttpHeaders.CONTENT_LENGTH);
        try {
            if (length != null && Long.parseLong(length.trim()) > maximumBytes) {
                throw RequestFailureException.notRun(
                        FailureCode.TOO_LARGE,
                        "Cannot receive body longer than bytes: " + maximumBytes);
            }
        } catch (NumberFormatException exception) {
            throw CompletionBodies.malformed("Content-Length is no whole number");
        }
    }

    /**
     * Decodes a body as UTF-8.
     *
     * @param body The body, or {@code null} if there is none.
     * @return The text, empty if there is no body.
     */
    private static String bodyText(@Nullable ByteBuf body) {
        return body == null ? "" : body.getString(StandardCharsets.UTF_8);
    }

    /**
     * Records the duration and verdict of a response in the metrics and the log.
     *
     * @param context The request's context.
     * @param response The response.
     * @return The same response.
     */
    private HttpResponse recordResponse(RequestContext context, HttpResponse response) {
        long millis = dependencies.clock().nowMillis() - context.startMillis();
        String verdict = response.getHeader(CallerResponses.VERDICT);
        dependencies
                .metrics()
                .onRequestEnd(
                        verdict == null
                                ? Verdict.NOT_RUN
                                : Verdict.valueOf(verdict.toUpperCase(Locale.ROOT)),
                        millis);
        try (LogScope ignored = LogScope.ofRequest(context.requestId())) {
            LOGGER.atFine().log(
                    "Sent response with status %d after %d ms", response.getCode(), millis);
        }
        return response;
    }

    /**
     * Records a failure in the metrics and the log and builds its response.
     *
     * @param context The request's context.
     * @param failure The failure.
     * @return The response.
     */
    private HttpResponse recordFailure(RequestContext context, RequestFailureException failure) {
        long millis = dependencies.clock().nowMillis() - context.startMillis();
        dependencies.metrics().onRequestEnd(failure.verdict(), millis);
        dependencies.metrics().onFailure(failure);
        try (LogScope ignored = LogScope.ofRequest(context.requestId())) {
            LOGGER.at(logLevelOf(failure)).log(
                    "Request failed with code %s and verdict %s after %d ms: %s",
                    failure.code().wireName(),
                    CallerResponses.verdictText(failure.verdict()),
                    millis,
                    failure.message());
        }
        boolean closeConnection =
                failure.code() == FailureCode.TOO_LARGE
                        || dependencies.requestLimiter().isDraining();
        return CallerResponses.failure(context.requestId(), failure, closeConnection);
    }

    /**
     * Returns the level at which a failure is logged.
     *
     * @param failure The failure.
     * @return A level that is disabled by default for the failures that any client can cause at
     *     will.
     */
    private static Level logLevelOf(RequestFailureException failure) {
        return switch (failure.code()) {
            case UNAUTHENTICATED, INVALID_REQUEST, NOT_FOUND, UNAVAILABLE -> Level.FINE;
            default -> Level.INFO;
        };
    }

    /**
     * Returns the failure to report for an exception.
     *
     * @param context The request's context.
     * @param exception The exception.
     * @return The failure. An unexpected exception is logged and reported as an internal fault that
     *     may have run.
     */
    private static RequestFailureException toFailure(RequestContext context, Throwable exception) {
        if (exception instanceof RequestFailureException failure) {
            return failure;
        }
        if (exception instanceof CompletionException && exception.getCause() != null) {
            return toFailure(context, exception.getCause());
        }
        if (exception instanceof InvalidSizeException) {
            return RequestFailureException.notRun(
                    FailureCode.TOO_LARGE, "Cannot receive body larger than allowed");
        }
        try (LogScope ignored = LogScope.ofRequest(context.requestId())) {
            LOGGER.atSevere().withCause(exception).log(
                    "Unexpected exception while handling a request");
        }
        return RequestFailureException.mayHaveRun(
                FailureCode.INTERNAL, "Cannot handle request because of an internal fault");
    }

    /**
     * Returns the failure for a path without a route.
     *
     * @return The failure, with a verdict that nothing ran.
     */
    private static RequestFailureException unknownPath() {
        return RequestFailureException.notRun(FailureCode.NOT_FOUND, "Cannot find path");
    }

    /**
     * Returns the failure for a missing or invalid credential.
     *
     * @return The failure, with a verdict that nothing ran.
     */
    private static RequestFailureException unauthenticated() {
        return RequestFailureException.notRun(
                FailureCode.UNAUTHENTICATED, "Cannot authenticate workspace");
    }

    /**
     * Returns the failure for a process that cannot serve at the moment.
     *
     * @param message The reason.
     * @return The failure.
     */
    private static RequestFailureException unavailable(String message) {
        return RequestFailureException.notRun(FailureCode.UNAVAILABLE, message)
                .withRetryAfterMillis(UNAVAILABLE_RETRY_AFTER_MILLIS);
    }

    /**
     * Holds what is known about a request before it is authenticated.
     *
     * @param requestId The identifier of the request.
     * @param startMillis The time of the request's start in milliseconds.
     */
    private record RequestContext(String requestId, long startMillis) {}
}
