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

/** Names, authenticates, bounds, routes and logs the requests of callers at one event loop. */
final class CallerServlet implements AsyncServlet {

    /** Writes log lines. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The delay that is advised while the process cannot serve, in milliseconds. */
    private static final long UNAVAILABLE_RETRY_AFTER_MILLIS = 1_000;

    /** The event loop. */
    private final Eventloop loop;

    /** What this servlet works with. */
    private final CallerDependencies dependencies;

    /** Routes requests by method and path. */
    private final RoutingServlet routes;

    /**
     * Creates a new servlet.
     *
     * @param loop The event loop.
     * @param services What this servlet works with.
     */
    CallerServlet(Eventloop loop, CallerDependencies services) {
        this.loop = loop;
        this.dependencies = services;
        CallerHandler tickets = new TicketHandler(services);
        CallerHandler calls = new ServiceCallHandler(services);
        routes =
                RoutingServlet.builder(loop)
                        .with(
                                HttpMethod.POST,
                                "/v1/chat/completions",
                                authenticated(new ChatHandler(services)))
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
     * Routes a request.
     *
     * @param http The request.
     * @return The answer.
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
     * Returns the servlet that authenticates a request, receives it and hands it to a handler.
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
     * Refuses to serve before this entry instance knows what it has to obey.
     *
     * @param keys The workspaces' keys that are known.
     * @throws RequestFailureException If table or keys are not learned or the table may be too old.
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
     * Refuses a request whose head announces too long a body.
     *
     * @param http The request.
     * @param maximumBytes The longest body in bytes.
     * @throws RequestFailureException If the body is too long or its length malformed.
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
     * Returns a body as text.
     *
     * @param body The body, or {@code null} if there is none.
     * @return The text.
     */
    private static String bodyText(@Nullable ByteBuf body) {
        return body == null ? "" : body.getString(StandardCharsets.UTF_8);
    }

    /**
     * Takes note of an answer.
     *
     * @param context The request's context.
     * @param response The answer.
     * @return The same answer.
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
            LOGGER.atFine().log("Answered with status %d after %d ms", response.getCode(), millis);
        }
        return response;
    }

    /**
     * Takes note of a failure and builds its answer.
     *
     * @param context The request's context.
     * @param failure The failure.
     * @return The answer.
     */
    private HttpResponse recordFailure(RequestContext context, RequestFailureException failure) {
        long millis = dependencies.clock().nowMillis() - context.startMillis();
        dependencies.metrics().onRequestEnd(failure.verdict(), millis);
        dependencies.metrics().onFailure(failure);
        try (LogScope ignored = LogScope.ofRequest(context.requestId())) {
            LOGGER.at(logLevelOf(failure)).log(
                    "Failed as %s with verdict %s after %d ms: %s",
                    failure.code().wireName(),
                    CallerResponses.verdictText(failure.verdict()),
                    millis,
                    failure.message());
        }
        boolean closing =
                failure.code() == FailureCode.TOO_LARGE
                        || dependencies.requestLimiter().isDraining();
        return CallerResponses.failure(context.requestId(), failure, closing);
    }

    /**
     * Returns the level at which a failure is logged.
     *
     * @param failure The failure.
     * @return A level that is not written by default if anybody can cause the failure at will.
     */
    private static Level logLevelOf(RequestFailureException failure) {
        return switch (failure.code()) {
            case UNAUTHENTICATED, INVALID_REQUEST, NOT_FOUND, UNAVAILABLE -> Level.FINE;
            default -> Level.INFO;
        };
    }

    /**
     * Returns the failure that an exception stands for.
     *
     * @param context The request's context.
     * @param exception The exception.
     * @return The failure.
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
            LOGGER.atSevere().withCause(exception).log("Cannot handle request");
        }
        return RequestFailureException.mayHaveRun(
                FailureCode.INTERNAL, "Cannot handle request because of an internal fault");
    }

    /**
     * Returns the failure of an unknown path.
     *
     * @return The failure of an unknown path.
     */
    private static RequestFailureException unknownPath() {
        return RequestFailureException.notRun(FailureCode.NOT_FOUND, "Cannot find path");
    }

    /**
     * Returns the failure of an unknown caller.
     *
     * @return The failure of an unknown caller.
     */
    private static RequestFailureException unauthenticated() {
        return RequestFailureException.notRun(
                FailureCode.UNAUTHENTICATED, "Cannot authenticate workspace");
    }

    /**
     * Returns the failure of a process that cannot serve.
     *
     * @param message Why it cannot.
     * @return The failure.
     */
    private static RequestFailureException unavailable(String message) {
        return RequestFailureException.notRun(FailureCode.UNAVAILABLE, message)
                .withRetryAfterMillis(UNAVAILABLE_RETRY_AFTER_MILLIS);
    }

    /**
     * Accompanies a request.
     *
     * @param requestId The identifier of the request.
     * @param startMillis The time of the request's start in milliseconds.
     */
    private record RequestContext(String requestId, long startMillis) {}
}
