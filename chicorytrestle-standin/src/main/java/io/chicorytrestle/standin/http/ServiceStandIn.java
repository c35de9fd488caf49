package io.chicorytrestle.standin.http;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.endpoint.ServiceResponse;
import io.chicorytrestle.standin.model.ServiceModel;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * Serves a plain service over HTTP and counts every execution. The counts are kept over crashes.
 */
final class ServiceStandIn extends EndpointStandIn {

    /** The request identifier of requests without one. */
    private static final String UNKNOWN_REQUEST_ID = "unknown";

    /** The request header that identifies the request attempt. */
    private static final HttpHeader REQUEST_ID_HEADER = HttpHeaders.of("X-Request-Id");

    /** Counts the executions; shared by all plain services. */
    private final ServiceModel model;

    /** Handles the requests. */
    private final AsyncServlet servlet;

    /** The number of executions by this service. */
    private long executions;

    /**
     * Creates a new plain service, which is not started yet.
     *
     * @param reactor The event loop.
     * @param host The IP address to bind.
     * @param specification Describes the service.
     * @param model Counts the executions of all plain services.
     * @param onListingChange Called after each change of this endpoint's entry in the instance
     *     list.
     */
    ServiceStandIn(
            NioReactor reactor,
            String host,
            Scenario.EndpointSpecification specification,
            ServiceModel model,
            Runnable onListingChange) {
        super(reactor, host, specification, onListingChange);
        this.model = model;
        servlet =
                RoutingServlet.builder(reactor)
                        .with(HttpMethod.POST, "/v1/operations/:operation", this::handlePost)
                        .with(HttpMethod.GET, "/v1/operations/:operation", this::handleGet)
                        .with(HttpMethod.GET, "/v1/load", request -> JsonResponses.ok(loadReport()))
                        .build();
    }

    @Override
    AsyncServlet servlet() {
        return servlet;
    }

    @Override
    void resetState() {
        /* do nothing */
    }

    @Override
    void onResumed() {
        /* do nothing */
    }

    @Override
    Object report() {
        return new Report(name(), incarnation(), isRunning(), isLeaving(), executions);
    }

    /**
     * Executes an operation.
     *
     * @param request The request.
     * @return The response, or a broken connection if a fault drops it.
     */
    private Promise<HttpResponse> handlePost(HttpRequest request) {
        String operation = request.getPathParameter("operation");
        return request.loadBody(JsonResponses.MAXIMUM_BODY_BYTES)
                .then(
                        body ->
                                executeOperation(
                                        request,
                                        operation,
                                        body.getString(StandardCharsets.UTF_8)));
    }

    /**
     * Executes an idempotent operation, with the query string as its body.
     *
     * @param request The request.
     * @return The response, or a broken connection if a fault drops it.
     */
    private Promise<HttpResponse> handleGet(HttpRequest request) {
        return executeOperation(
                request, "GET " + request.getPathParameter("operation"), request.getQuery());
    }

    /**
     * Executes an operation, unless the service is leaving and refuses it.
     *
     * @param request The request.
     * @param operation The name of the operation.
     * @param body The body.
     * @return The response, or a broken connection if a fault drops it.
     */
    private Promise<HttpResponse> executeOperation(
            HttpRequest request, String operation, String body) {
        if (isLeaving()) {
            return JsonResponses.notRun();
        }
        String requestId =
                Objects.requireNonNullElse(
                        request.getHeader(REQUEST_ID_HEADER), UNKNOWN_REQUEST_ID);
        ServiceResponse response = model.execute(requestId, operation, body);
        executions++;
        return faults().dropAnswers()
                ? JsonResponses.brokenConnection()
                : HttpResponse.ofCode(response.status()).withPlainText(response.body()).toPromise();
    }

    /**
     * Returns the load report, which is always zero because operations complete at once.
     *
     * @return The report.
     */
    private EngineProtocol.LoadReport loadReport() {
        return new EngineProtocol.LoadReport(incarnation(), 0, 0, reactor.currentTimeMillis());
    }

    /**
     * The state and the counter of a plain service, as the control interface sends them.
     *
     * @param name The name.
     * @param incarnation The incarnation, which grows by one after each crash.
     * @param alive Whether it is running.
     * @param leaving Whether it refuses new work because it is leaving.
     * @param executions The number of executions, which is kept over crashes.
     */
    record Report(String name, long incarnation, boolean alive, boolean leaving, long executions) {}
}
