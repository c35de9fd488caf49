package io.chicorytrestle.daemon.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.identity.ChatKey;
import io.chicorytrestle.core.routing.WorkRequest;
import io.chicorytrestle.core.table.TableParseResult;
import io.chicorytrestle.daemon.settings.Settings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.function.Function;

/** Answers operators, who can only read. */
public final class OperatorServer {

    /** The status of a successful answer. */
    private static final int OK = 200;

    /** The status of a malformed request. */
    private static final int BAD_REQUEST = 400;

    /** The status of a process that cannot serve. */
    private static final int UNAVAILABLE = 503;

    /** The time within which an explained request would have to start, in milliseconds. */
    private static final long EXPLAIN_DEADLINE_MILLIS = 1_000;

    /** Writes JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** What operators read. */
    private final OperatorDependencies dependencies;

    /** The server. */
    private final HttpServer server;

    /**
     * Creates a new server.
     *
     * @param loop The event loop.
     * @param settings Tells where to listen.
     * @param services What operators read.
     */
    private OperatorServer(
            Eventloop loop, Settings.Operators settings, OperatorDependencies services) {
        this.dependencies = services;
        server =
                HttpServer.builder(loop, routes(loop))
                        .withListenAddress(new InetSocketAddress(settings.host(), settings.port()))
                        .build();
    }

    /**
     * Starts to answer operators.
     *
     * @param loop The event loop.
     * @param settings Tells where to listen.
     * @param services What operators read.
     * @return The running server.
     * @throws IOException If the port cannot be listened at.
     */
    public static OperatorServer start(
            Eventloop loop, Settings.Operators settings, OperatorDependencies services)
            throws IOException {
        OperatorServer started = new OperatorServer(loop, settings, services);
        try {
            loop.submit(started.server::listen).get();
        } catch (ExecutionException exception) {
            throw new IOException(
                    "Cannot listen for operators at: " + settings.host() + ":" + settings.port(),
                    exception.getCause());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IOException("Cannot listen for operators while interrupted", exception);
        }
        return started;
    }

    /**
     * Returns the port that is listened at.
     *
     * @return The TCP port.
     */
    public int port() {
        return server.getBoundAddresses().get(0).getPort();
    }

    /**
     * Routes requests by path.
     *
     * @param loop The event loop.
     * @return The routes.
     */
    private AsyncServlet routes(Eventloop loop) {
        return RoutingServlet.builder(loop)
                .with(HttpMethod.GET, "/health", request -> jsonResponse(OK, health()).toPromise())
                .with(HttpMethod.GET, "/ready", request -> readinessResponse().toPromise())
                .with(HttpMethod.GET, "/metrics", jsonServlet(request -> metrics()))
                .with(HttpMethod.GET, "/audit", jsonServlet(this::audit))
                .with(HttpMethod.GET, "/membership", jsonServlet(request -> membership()))
                .with(HttpMethod.GET, "/load", jsonServlet(request -> load()))
                .with(HttpMethod.GET, "/table", jsonServlet(request -> table()))
                .with(HttpMethod.GET, "/explain", jsonServlet(this::explain))
                .build();
    }

    /**
     * Returns the servlet that answers with a body.
     *
     * @param body Computes the body; it throws an {@link IllegalArgumentException} if the request
     *     is malformed.
     * @return The servlet.
     */
    private static AsyncServlet jsonServlet(Function<HttpRequest, Object> body) {
        return request -> {
            try {
                return jsonResponse(OK, body.apply(request)).toPromise();
            } catch (IllegalArgumentException exception) {
                return jsonResponse(
                                BAD_REQUEST, new ErrorBody(String.valueOf(exception.getMessage())))
                        .toPromise();
            }
        };
    }

    /**
     * Builds an answer.
     *
     * @param status The status.
     * @param body The body.
     * @return The answer.
     * @throws IllegalArgumentException If the body cannot be written.
     */
    private static HttpResponse.Builder jsonResponse(int status, Object body) {
        try {
            return HttpResponse.ofCode(status)
                    .withHeader(io.activej.http.HttpHeaders.CONTENT_TYPE, "application/json")
                    .withBody(MAPPER.writeValueAsBytes(body));
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException("Cannot write body: " + body.getClass(), exception);
        }
    }

    /**
     * Returns that the process runs.
     *
     * @return That the process runs.
     */
    private Health health() {
        return new Health(
                dependencies.self().name(),
                dependencies.self().zone(),
                dependencies.self().incarnation());
    }

    /**
     * Returns whether the process can serve.
     *
     * @return The answer, of status 503 if it cannot.
     */
    private HttpResponse.Builder readinessResponse() {
        Readiness readiness = dependencies.readiness().get();
        return jsonResponse(readiness.ready() ? OK : UNAVAILABLE, readiness);
    }

    /**
     * Returns all metrics.
     *
     * @return All metrics.
     */
    private Object metrics() {
        return MetricBodies.of(dependencies.metrics());
    }

    /**
     * Returns the latest changes.
     *
     * @param request The request.
     * @return The latest changes.
     */
    private Object audit(HttpRequest request) {
        long after = integerParameter(request, "after", 0);
        return new AuditBody(
                dependencies.self().name(),
                List.copyOf(dependencies.auditTrail().entriesAfter(after)));
    }

    /**
     * Returns the view of the fleet.
     *
     * @return The view of the fleet.
     */
    private Object membership() {
        return dependencies.blackboard().read(Topics.MEMBERSHIP);
    }

    /**
     * Returns the load of this entry instance.
     *
     * @return The gauges about load.
     */
    private Object load() {
        Map<String, Object> gauges = new TreeMap<>();
        dependencies
                .metrics()
                .getGauges((name, metric) -> name.startsWith("load."))
                .forEach((name, gauge) -> gauges.put(name, gauge.getValue()));
        return gauges;
    }

    /**
     * Returns the table in force.
     *
     * @return The table in force.
     */
    private Object table() {
        TableParseResult.Accepted inForce = dependencies.tableRegistry().current();
        return new TableBody(
                inForce.table().version(),
                inForce.digest(),
                List.copyOf(new TreeMap<>(inForce.table().workspaces()).values()),
                List.copyOf(new TreeMap<>(inForce.table().pools()).values()));
    }

    /**
     * Explains where a chat would go.
     *
     * @param request The request.
     * @return One line for each candidate.
     */
    private Object explain(HttpRequest request) {
        long nowMillis = dependencies.clock().nowMillis();
        WorkRequest work =
                new WorkRequest(
                        "explained",
                        new ChatKey(
                                requiredParameter(request, "workspace"),
                                requiredParameter(request, "chat")),
                        requiredParameter(request, "pool"),
                        Math.toIntExact(integerParameter(request, "tokens", 0)),
                        0,
                        nowMillis + EXPLAIN_DEADLINE_MILLIS,
                        Optional.ofNullable(request.getQueryParameter("placement")),
                        Set.of());
        return new Explanation(dependencies.dispatcher().explain(work, nowMillis));
    }

    /**
     * Returns a parameter.
     *
     * @param request The request.
     * @param name The parameter's name.
     * @return The value.
     * @throws IllegalArgumentException If the parameter is missing.
     */
    private static String requiredParameter(HttpRequest request, String name) {
        String value = request.getQueryParameter(name);
        if (value == null) {
            throw new IllegalArgumentException("Cannot answer without parameter: " + name);
        }
        return value;
    }

    /**
     * Returns a parameter that is a number.
     *
     * @param request The request.
     * @param name The parameter's name.
     * @param fallback The value of a missing parameter.
     * @return The value.
     * @throws IllegalArgumentException If the value is no number from zero on.
     */
    private static long integerParameter(HttpRequest request, String name, long fallback) {
        String value = request.getQueryParameter(name);
        long number;
        try {
            number = value == null ? fallback : Long.parseLong(value);
        } catch (NumberFormatException exception) {
            number = -1;
        }
        if (number < 0 || number > Integer.MAX_VALUE) {
            throw new IllegalArgumentException(
                    "Cannot use parameter %s: %s".formatted(name, value));
        }
        return number;
    }

    /**
     * Tells who runs.
     *
     * @param instance The name of the entry instance.
     * @param zone The availability zone.
     * @param incarnation The incarnation.
     */
    private record Health(String instance, String zone, long incarnation) {}

    /**
     * Tells what is wrong with a request.
     *
     * @param error What is wrong.
     */
    private record ErrorBody(String error) {}

    /**
     * Holds changes.
     *
     * @param instance The name of the entry instance.
     * @param events The changes, oldest first.
     */
    private record AuditBody(String instance, List<Object> events) {}

    /**
     * Holds a table.
     *
     * @param version The version.
     * @param digest The digest.
     * @param workspaces The workspaces' rows.
     * @param pools The pools' rows.
     */
    private record TableBody(
            long version, String digest, List<Object> workspaces, List<Object> pools) {}

    /**
     * Explains a choice.
     *
     * @param candidates One line for each candidate, the chosen one first.
     */
    private record Explanation(List<String> candidates) {}
}
