package io.chicorytrestle.standin.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Switches faults, publishes values and reports counts over HTTP. */
final class ControlServlet {

    /** The status of an unknown endpoint or action. */
    private static final int STATUS_NOT_FOUND = 404;

    /** The status of a value that is too large. */
    private static final int STATUS_TOO_LARGE = 413;

    /** The period of a flapping endpoint if none is given, in milliseconds. */
    private static final long DEFAULT_FLAP_MILLIS = 2_000;

    /** The times that an endpoint flaps if no number is given. */
    private static final long DEFAULT_FLAPS = 3;

    /** The stand-ins. */
    private final StandInFleet fleet;

    /**
     * Creates a new control.
     *
     * @param fleet The stand-ins.
     */
    ControlServlet(StandInFleet fleet) {
        this.fleet = fleet;
    }

    /**
     * Returns what answers the requests.
     *
     * @return The servlet.
     */
    AsyncServlet servlet() {
        return RoutingServlet.builder(fleet.reactor())
                .with(HttpMethod.GET, "/standin/addresses", request -> JsonResponses.ok(fleet.addresses()))
                .with(HttpMethod.GET, "/standin/executions", request -> JsonResponses.ok(executions()))
                .with(HttpMethod.GET, "/standin/engines", request -> JsonResponses.ok(fleet.endpointReports()))
                .with(HttpMethod.GET, "/standin/reads", request -> JsonResponses.ok(reads()))
                .with(HttpMethod.PUT, "/standin/values/:key", this::publish)
                .with(HttpMethod.POST, "/standin/configuration/:mode", this::switchConfiguration)
                .with(HttpMethod.POST, "/standin/list", this::setListLag)
                .with(HttpMethod.PUT, "/standin/entry-instances/:name", this::putEntryInstance)
                .with(HttpMethod.DELETE, "/standin/entry-instances/:name", this::removeEntryInstance)
                .with(HttpMethod.PUT, "/standin/endpoints/:name/faults", this::replaceFaults)
                .with(HttpMethod.POST, "/standin/endpoints/:name/:action", this::performAction)
                .build();
    }

    /**
     * Reports the executions of plain services.
     *
     * @return The counts.
     */
    private Executions executions() {
        return new Executions(
                fleet.serviceModel().executionsByBody(), fleet.serviceModel().executionsByRequest());
    }

    /**
     * Reports the reads of the platform's services.
     *
     * @return The counts.
     */
    private Reads reads() {
        return new Reads(fleet.configurationService().readCounts(), fleet.weightStore().readCounts());
    }

    /**
     * Publishes a value.
     *
     * @param request The request, whose body is the value.
     * @return The value's revision.
     */
    private Promise<HttpResponse> publish(HttpRequest request) {
        String key = request.getPathParameter("key");
        return request.loadBody(JsonResponses.MAXIMUM_BODY_BYTES)
                .then(
                        body -> {
                            byte[] bytes = body.getArray();
                            return bytes.length > ConfigurationService.MAXIMUM_VALUE_BYTES
                                    ? JsonResponses.ofStatus(STATUS_TOO_LARGE)
                                    : JsonResponses.ok(fleet.configurationService().publish(key, bytes));
                        });
    }

    /**
     * Switches the configuration service to a mode, and its delay.
     *
     * @param request The request.
     * @return An answer without a body.
     */
    private Promise<HttpResponse> switchConfiguration(HttpRequest request) {
        String mode = request.getPathParameter("mode").toUpperCase(Locale.ROOT);
        fleet.configurationService().setMode(ConfigurationService.Mode.valueOf(mode));
        fleet.configurationService().setResponseDelay(parseOrDefault(request.getQueryParameter("delayMillis"), 0));
        return HttpResponse.ok200().toPromise();
    }

    /**
     * Changes the lag of the instance list.
     *
     * @param request The request.
     * @return An answer without a body.
     */
    private Promise<HttpResponse> setListLag(HttpRequest request) {
        fleet.instanceList().setLag(parseOrDefault(request.getQueryParameter("lagMillis"), 0));
        return HttpResponse.ok200().toPromise();
    }

    /**
     * Puts an entry instance on the instance list.
     *
     * @param request The request.
     * @return An answer without a body.
     */
    private Promise<HttpResponse> putEntryInstance(HttpRequest request) {
        return readBody(request, Scenario.EntryInstance.class)
                .then(
                        instance -> {
                            fleet.putEntryInstance(instance);
                            return HttpResponse.ok200().toPromise();
                        });
    }

    /**
     * Takes an entry instance off the instance list.
     *
     * @param request The request.
     * @return An answer without a body.
     */
    private Promise<HttpResponse> removeEntryInstance(HttpRequest request) {
        fleet.removeEntryInstance(request.getPathParameter("name"));
        return HttpResponse.ok200().toPromise();
    }

    /**
     * Replaces the faults of an endpoint.
     *
     * @param request The request.
     * @return An answer without a body.
     */
    private Promise<HttpResponse> replaceFaults(HttpRequest request) {
        EndpointStandIn endpoint = fleet.endpoint(request.getPathParameter("name"));
        if (endpoint == null) {
            return JsonResponses.ofStatus(STATUS_NOT_FOUND);
        }
        return readBody(request, Faults.class)
                .then(
                        faults -> {
                            endpoint.faults(faults);
                            return HttpResponse.ok200().toPromise();
                        });
    }

    /**
     * Makes an endpoint do something.
     *
     * @param request The request.
     * @return An answer without a body.
     * @throws IOException If the endpoint's port cannot be had.
     */
    private Promise<HttpResponse> performAction(HttpRequest request) throws IOException {
        EndpointStandIn endpoint = fleet.endpoint(request.getPathParameter("name"));
        if (endpoint == null) {
            return JsonResponses.ofStatus(STATUS_NOT_FOUND);
        }
        switch (request.getPathParameter("action")) {
            case "start" -> endpoint.start();
            case "crash" -> endpoint.crash();
            case "leave" -> endpoint.startLeaving();
            case "pause" -> endpoint.pause();
            case "resume" -> endpoint.resume();
            case "refuse" -> endpoint.refuseConnections();
            case "accept" -> endpoint.acceptConnections();
            case "flap" ->
                    fleet.flap(
                            endpoint,
                            parseOrDefault(request.getQueryParameter("periodMillis"), DEFAULT_FLAP_MILLIS),
                            parseOrDefault(request.getQueryParameter("times"), DEFAULT_FLAPS));
            default -> {
                return JsonResponses.ofStatus(STATUS_NOT_FOUND);
            }
        }
        return HttpResponse.ok200().toPromise();
    }

    /**
     * Reads the body of a request.
     *
     * @param request The request.
     * @param type The type of the body.
     * @param <T> The type of the body.
     * @return The body.
     */
    private static <T> Promise<T> readBody(HttpRequest request, Class<T> type) {
        return request.loadBody(JsonResponses.MAXIMUM_BODY_BYTES)
                .map((ByteBuf body) -> JsonResponses.MAPPER.readValue(body.getArray(), type));
    }

    /**
     * Reads a number.
     *
     * @param text The text, or {@code null} if the parameter is missing.
     * @param otherwise The number if it is missing.
     * @return The number.
     */
    private static long parseOrDefault(@Nullable String text, long otherwise) {
        return text == null ? otherwise : Long.parseLong(text);
    }

    /**
     * Holds the executions of plain services.
     *
     * @param byBody The executions by operation and body.
     * @param byRequest The executions by the identifier of the attempt.
     */
    record Executions(Map<String, Integer> byBody, Map<String, Integer> byRequest) {}

    /**
     * Holds the reads of the platform's services.
     *
     * @param configuration The reads of the configuration service.
     * @param weights The reads of the weight store.
     */
    record Reads(ReadRateLimiter.Counts configuration, ReadRateLimiter.Counts weights) {}
}
