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

/** Serves the read-only HTTP interface for operators. */
public final class OperatorServer {

    /** The HTTP status of a successful response. */
    private static final int OK = 200;

    /** The HTTP status for a missing or invalid parameter. */
    private static final int BAD_REQUEST = 400;

    /** The HTTP status of the readiness check while the process cannot serve. */
    private static final int UNAVAILABLE = 503;

    /**
     * The time until the deadline of the request that is assumed for an explanation, in
     * milliseconds.
     */
    private static final long EXPLAIN_DEADLINE_MILLIS = 1_000;

    /** Serialises bodies. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The collaborators of this server. */
    private final OperatorDependencies dependencies;

    /** The HTTP server. */
    private final HttpServer server;

    /**
     * Creates a server.
     *
     * @param loop The event loop that serves operators.
     * @param settings The address to listen on.
     * @param dependencies The collaborators of the server.
     */
    private OperatorServer(
            Eventloop loop, Settings.Operators settings, OperatorDependencies dependencies) {
        this.dependencies = dependencies;
        server =
                HttpServer.builder(loop, routes(loop))
                        .withListenAddress(new InetSocketAddress(settings.host(), settings.port()))
                        .build();
    }

    /**
     * Starts to listen for operators.
     *
     * @param loop The event loop that serves operators.
     * @param settings The address to listen on.
     * @param dependencies The collaborators of the server.
     * @return The running server.
     * @throws IOException If the server cannot listen on the port.
     */
    public static OperatorServer start(
            Eventloop loop, Settings.Operators settings, OperatorDependencies dependencies)
            throws IOException {
        OperatorServer operatorServer = new OperatorServer(loop, settings, dependencies);
        try {
            loop.submit(operatorServer.server::listen).get();
        } catch (ExecutionException exception) {
            throw new IOException(
                    "Cannot listen for operators at: " + settings.host() + ":" + settings.port(),
                    exception.getCause());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IOException("Cannot listen for operators while interrupted", exception);
        }
        return operatorServer;
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return The TCP port.
     */
    public int port() {
        return server.getBoundAddresses().get(0).getPort();
    }

    /**
     * Creates the routes of all paths.
     *
     * @param loop The event loop that serves operators.
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
     * Creates a servlet that responds with a JSON body.
     *
     * @param body Computes the body. It throws an {@link IllegalArgumentException} if a parameter
     *     is missing or invalid, which is reported with status 400.
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
     * Builds a response with a JSON body.
     *
     * @param status The HTTP status.
     * @param body The body to serialise.
     * @return The response.
     * @throws IllegalArgumentException If the body cannot be serialised.
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
     * Returns the body of the liveness check.
     *
     * @return The identity of this entry instance.
     */
    private Health health() {
        return new Health(
                dependencies.self().name(),
                dependencies.self().zone(),
                dependencies.self().incarnation());
    }

    /**
     * Builds the response of the readiness check.
     *
     * @return The response, with status 503 if the process cannot serve.
     */
    private HttpResponse.Builder readinessResponse() {
        Readiness readiness = dependencies.readiness().get();
        return jsonResponse(readiness.ready() ? OK : UNAVAILABLE, readiness);
    }

    /**
     * Returns the body with the values of all metrics.
     *
     * @return The body.
     */
    private Object metrics() {
        return MetricBodies.of(dependencies.metrics());
    }

    /**
     * Returns the body with the latest audit events.
     *
     * @param request The request, with the sequence number after which to start as an optional
     *     parameter.
     * @return The body.
     */
    private Object audit(HttpRequest request) {
        long after = integerParameter(request, "after", 0);
        return new AuditBody(
                dependencies.self().name(),
                List.copyOf(dependencies.auditTrail().entriesAfter(after)));
    }

    /**
     * Returns the membership view of this entry instance.
     *
     * @return The membership view.
     */
    private Object membership() {
        return dependencies.blackboard().read(Topics.MEMBERSHIP);
    }

    /**
     * Returns the current load of this entry instance.
     *
     * @return The gauges whose names begin with {@code load.}.
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
     * Returns the body with the table in force.
     *
     * @return The body, with rows sorted by name.
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
     * Explains which endpoint a chat turn would be routed to, without routing one.
     *
     * @param request The request, with workspace, chat and pool as parameters, and optionally
     *     tokens and placement.
     * @return The body with one line for each candidate.
     */
    private Object explain(HttpRequest request) {
        long nowMillis = dependencies.clock().nowMillis();
        WorkRequest workRequest =
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
        return new Explanation(dependencies.dispatcher().explain(workRequest, nowMillis));
    }

    /**
     * Returns the value of a required query parameter.
     *
     * @param request The request.
     * @param name The name of the parameter.
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
     * Returns the value of an integer query parameter.
     *
     * @param request The request.
     * @param name The name of the parameter.
     * @param defaultNumber The default for a missing parameter.
     * @return The value.
     * @throws IllegalArgumentException If the value is not an integer from zero to the maximum of
     *     {@code int}.
     */
    private static long integerParameter(HttpRequest request, String name, long defaultNumber) {
        String value = request.getQueryParameter(name);
        long number;
        try {
            number = value == null ? defaultNumber : Long.parseLong(value);
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
     * The body of the liveness check.
     *
     * @param instance The name of the entry instance.
     * @param zone The availability zone.
     * @param incarnation The incarnation of the entry instance.
     */
    private record Health(String instance, String zone, long incarnation) {}

    /**
     * The body of a failed request.
     *
     * @param error What is wrong with the request.
     */
    private record ErrorBody(String error) {}

    /**
     * The body with the latest audit events.
     *
     * @param instance The name of the entry instance.
     * @param events The audit events with their sequence numbers, oldest first.
     */
    private record AuditBody(String instance, List<Object> events) {}

    /**
     * The body with the table in force.
     *
     * @param version The version of the table.
     * @param digest The digest of the table.
     * @param workspaces The rows of the workspaces, sorted by name.
     * @param pools The rows of the pools, sorted by name.
     */
    private record TableBody(
            long version, String digest, List<Object> workspaces, List<Object> pools) {}

    /**
     * The body that explains the selection of an endpoint.
     *
     * @param candidates One line for each candidate, the selected one first.
     */
    private record Explanation(List<String> candidates) {}
}
