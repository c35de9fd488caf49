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

/** Serves a plain service over HTTP and counts every execution, over all its runs. */
final class ServiceStandIn extends EndpointStandIn {

    /** The identifier of attempts whose caller named none. */
    private static final String UNKNOWN_REQUEST_ID = "unknown";

    /** The header that names the attempt. */
    private static final HttpHeader REQUEST_ID_HEADER = HttpHeaders.of("X-Request-Id");

    /** Counts the executions; shared by all plain services. */
    private final ServiceModel model;

    /** Answers the requests. */
    private final AsyncServlet servlet;

    /** The executions of this service. */
    private long executions;

    /**
     * Creates a new plain service, which does not run yet.
     *
     * @param reactor The event loop.
     * @param host The IP number to listen on.
     * @param specification Describes the service.
     * @param model Counts the executions of all plain services.
     * @param onChange Called when what the instance list shows has changed.
     */
    ServiceStandIn(
            NioReactor reactor,
            String host,
            Scenario.EndpointSpecification specification,
            ServiceModel model,
            Runnable onChange) {
        super(reactor, host, specification, onChange);
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
     * @return The answer, unless a fault loses it.
     */
    private Promise<HttpResponse> handlePost(HttpRequest request) {
        String operation = request.getPathParameter("operation");
        return request.loadBody(JsonResponses.MAXIMUM_BODY_BYTES)
                .then(body -> executeOperation(request, operation, body.getString(StandardCharsets.UTF_8)));
    }

    /**
     * Executes an idempotent operation, whose body is the query.
     *
     * @param request The request.
     * @return The answer, unless a fault loses it.
     */
    private Promise<HttpResponse> handleGet(HttpRequest request) {
        return executeOperation(request, "GET " + request.getPathParameter("operation"), request.getQuery());
    }

    /**
     * Executes an operation, unless the service is leaving.
     *
     * @param request The request.
     * @param operation The name of the operation.
     * @param body The body.
     * @return The answer, unless a fault loses it.
     */
    private Promise<HttpResponse> executeOperation(HttpRequest request, String operation, String body) {
        if (isLeaving()) {
            return JsonResponses.notRun();
        }
        String requestId = Objects.requireNonNullElse(request.getHeader(REQUEST_ID_HEADER), UNKNOWN_REQUEST_ID);
        ServiceResponse answer = model.execute(requestId, operation, body);
        executions++;
        return faults().dropAnswers()
                ? JsonResponses.brokenConnection()
                : HttpResponse.ofCode(answer.status()).withPlainText(answer.body()).toPromise();
    }

    /**
     * Reports the load.
     *
     * @return The report; operations take no time.
     */
    private EngineProtocol.LoadReport loadReport() {
        return new EngineProtocol.LoadReport(incarnation(), 0, 0, reactor.currentTimeMillis());
    }

    /**
     * Reports what a plain service does and did.
     *
     * @param name The name.
     * @param incarnation The number of the run.
     * @param alive Whether it runs.
     * @param leaving Whether it is leaving.
     * @param executions The executions in all its runs.
     */
    record Report(String name, long incarnation, boolean alive, boolean leaving, long executions) {}
}
