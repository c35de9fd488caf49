package io.chicorytrestle.daemon.endpoint;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.chicorytrestle.core.endpoint.ServiceClient;
import io.chicorytrestle.core.endpoint.ServiceRequest;
import io.chicorytrestle.core.endpoint.ServiceResponse;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.daemon.loop.EventLoopPool;
import io.chicorytrestle.daemon.loop.MonotonicClock;
import io.chicorytrestle.daemon.settings.Settings;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;

/** Reaches plain services over HTTP, each request over a connection of its own. */
public final class HttpServiceClient implements ServiceClient {

    /** The longest answer in bytes. */
    private static final int MAXIMUM_RESPONSE_BYTES = 4_194_304;

    /** The event loops. */
    private final EventLoopPool loops;

    /** The channels in the order of the event loops. */
    private final List<EndpointChannel> channels;

    /** Tells the present time. */
    private final MonotonicClock clock;

    /**
     * Creates a new client.
     *
     * @param loops The event loops.
     * @param channels The channels in the order of the event loops.
     * @param clock Tells the present time.
     */
    private HttpServiceClient(
            EventLoopPool loops, List<EndpointChannel> channels, MonotonicClock clock) {
        this.loops = loops;
        this.channels = channels;
        this.clock = clock;
    }

    /**
     * Creates a new client.
     *
     * @param loops The event loops that send.
     * @param settings Tells how endpoints are reached.
     * @param clock Tells the present time.
     * @return The client.
     */
    public static HttpServiceClient make(
            EventLoopPool loops, Settings.Endpoints settings, MonotonicClock clock) {
        return new HttpServiceClient(loops, EndpointChannel.of(loops, settings, clock), clock);
    }

    @Override
    public CompletableFuture<ServiceResponse> execute(
            Endpoint service, ServiceRequest request, LongPredicate mayWrite) {
        CompletableFuture<ServiceResponse> answer = new CompletableFuture<>();
        EndpointChannel channel = channels.get(loops.currentOrNextIndex());
        channel.loop().execute(() -> send(channel, service, request, mayWrite, answer));
        return answer;
    }

    /**
     * Sends a request from the channel's event loop.
     *
     * @param channel The channel.
     * @param service The plain service.
     * @param request The request.
     * @param mayWrite Asked immediately before the first byte is written.
     * @param answer Completed with the answer.
     */
    private void send(
            EndpointChannel channel,
            Endpoint service,
            ServiceRequest request,
            LongPredicate mayWrite,
            CompletableFuture<ServiceResponse> answer) {
        WriteTracker attempt =
                new WriteTracker(nowMillis -> !answer.isDone() && mayWrite.test(nowMillis));
        long waitMillis = Math.max(1, request.deadlineMillis() - clock.nowMillis());
        ScheduledRunnable timeout =
                channel.loop()
                        .delayBackground(
                                waitMillis,
                                () ->
                                        answer.completeExceptionally(
                                                attempt.toFailure(
                                                        service.name(), new DeadlineException())));
        answer.whenComplete((result, failure) -> channel.loop().execute(timeout::cancel));
        channel.sendWithWriteCheck(buildRequest(service, request), attempt)
                .whenResult(response -> handleResponse(service, response, answer))
                .whenException(
                        exception ->
                                answer.completeExceptionally(
                                        attempt.toFailure(service.name(), exception)));
    }

    /**
     * Builds a request.
     *
     * @param service The plain service.
     * @param request The request.
     * @return The request over HTTP.
     */
    private static HttpRequest buildRequest(Endpoint service, ServiceRequest request) {
        String path = "/v1/operations/" + EndpointProtocol.urlEncode(request.operation());
        HttpRequest.Builder builder =
                request.idempotent()
                        ? HttpRequest.get(
                                EndpointProtocol.urlOf(service, path + queryOf(request.body())))
                        : HttpRequest.post(EndpointProtocol.urlOf(service, path))
                                .withBody(request.body().getBytes(StandardCharsets.UTF_8));
        builder.withHeader(EndpointProtocol.REQUEST_ID, request.requestId());
        request.idempotencyKey()
                .ifPresent(key -> builder.withHeader(EndpointProtocol.IDEMPOTENCY_KEY, key));
        return builder.build();
    }

    /**
     * Returns a look-up's body as the end of an address.
     *
     * @param body The body.
     * @return The query with its mark, or an empty text.
     */
    private static String queryOf(String body) {
        return body.isEmpty() ? "" : "?" + body;
    }

    /**
     * Receives an answer.
     *
     * @param service The plain service.
     * @param response The answer's head.
     * @param answer Completed with the whole answer.
     */
    private static void handleResponse(
            Endpoint service, HttpResponse response, CompletableFuture<ServiceResponse> answer) {
        if (EndpointProtocol.isRefusal(response)) {
            answer.completeExceptionally(EndpointProtocol.refusalFailure(service));
            return;
        }
        response.loadBody(MAXIMUM_RESPONSE_BYTES)
                .whenResult(
                        body ->
                                answer.complete(
                                        new ServiceResponse(
                                                response.getCode(),
                                                body.getString(StandardCharsets.UTF_8))))
                .whenException(
                        exception ->
                                answer.completeExceptionally(
                                        RequestFailureException.mayHaveRun(
                                                FailureCode.ANSWER_CUT,
                                                "Cannot read answer of endpoint: "
                                                        + service.name())));
    }

    /** Marks that the deadline passed. */
    private static final class DeadlineException extends Exception {

        private static final long serialVersionUID = 1L;
    }
}
