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

/**
 * Sends requests to plain services over HTTP, each over a connection of its own, so that the write
 * permission is checked immediately before the first byte.
 */
public final class HttpServiceClient implements ServiceClient {

    /** The maximum length of a response in bytes. */
    private static final int MAXIMUM_RESPONSE_BYTES = 4_194_304;

    /** The event loops that send. */
    private final EventLoopPool loops;

    /** The channels, in the order of the event loops. */
    private final List<EndpointChannel> channels;

    /** Supplies the current time for the deadlines of requests. */
    private final MonotonicClock clock;

    /**
     * Creates a client.
     *
     * @param loops The event loops that send.
     * @param channels The channels, in the order of the event loops.
     * @param clock Supplies the current time.
     */
    private HttpServiceClient(
            EventLoopPool loops, List<EndpointChannel> channels, MonotonicClock clock) {
        this.loops = loops;
        this.channels = channels;
        this.clock = clock;
    }

    /**
     * Creates a client.
     *
     * @param loops The event loops that send.
     * @param settings The settings for connections to endpoints.
     * @param clock Supplies the current time.
     * @return The client.
     */
    public static HttpServiceClient make(
            EventLoopPool loops, Settings.Endpoints settings, MonotonicClock clock) {
        return new HttpServiceClient(loops, EndpointChannel.of(loops, settings, clock), clock);
    }

    @Override
    public CompletableFuture<ServiceResponse> execute(
            Endpoint service, ServiceRequest request, LongPredicate mayWrite) {
        CompletableFuture<ServiceResponse> responseFuture = new CompletableFuture<>();
        EndpointChannel channel = channels.get(loops.currentOrNextIndex());
        channel.loop().execute(() -> send(channel, service, request, mayWrite, responseFuture));
        return responseFuture;
    }

    /**
     * Sends a request from the channel's event loop and fails it when its deadline passes.
     *
     * @param channel The channel to send from.
     * @param service The plain service.
     * @param request The request.
     * @param mayWrite Called with the current time in milliseconds immediately before the first
     *     byte is written; the request is sent only if it returns {@code true}.
     * @param responseFuture Completed with the response or the failure.
     */
    private void send(
            EndpointChannel channel,
            Endpoint service,
            ServiceRequest request,
            LongPredicate mayWrite,
            CompletableFuture<ServiceResponse> responseFuture) {
        WriteTracker tracker =
                new WriteTracker(nowMillis -> !responseFuture.isDone() && mayWrite.test(nowMillis));
        long waitMillis = Math.max(1, request.deadlineMillis() - clock.nowMillis());
        ScheduledRunnable timeout =
                channel.loop()
                        .delayBackground(
                                waitMillis,
                                () ->
                                        responseFuture.completeExceptionally(
                                                tracker.toFailure(
                                                        service.name(), new DeadlineException())));
        responseFuture.whenComplete((result, failure) -> channel.loop().execute(timeout::cancel));
        channel.sendWithWriteCheck(buildRequest(service, request), tracker)
                .whenResult(response -> handleResponse(service, response, responseFuture))
                .whenException(
                        exception ->
                                responseFuture.completeExceptionally(
                                        tracker.toFailure(service.name(), exception)));
    }

    /**
     * Builds the HTTP request: GET for an idempotent request, POST otherwise.
     *
     * @param service The plain service.
     * @param request The request.
     * @return The HTTP request.
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
     * Returns the query of an idempotent request.
     *
     * @param body The body of the request, which is sent as the query.
     * @return The query with a question mark, or an empty text.
     */
    private static String queryOf(String body) {
        return body.isEmpty() ? "" : "?" + body;
    }

    /**
     * Completes a request with its response.
     *
     * @param service The plain service.
     * @param response The response, whose body has yet to arrive.
     * @param responseFuture Completed with the response or the failure.
     */
    private static void handleResponse(
            Endpoint service,
            HttpResponse response,
            CompletableFuture<ServiceResponse> responseFuture) {
        if (EndpointProtocol.isRefusal(response)) {
            responseFuture.completeExceptionally(EndpointProtocol.refusalFailure(service));
            return;
        }
        response.loadBody(MAXIMUM_RESPONSE_BYTES)
                .whenResult(
                        body ->
                                responseFuture.complete(
                                        new ServiceResponse(
                                                response.getCode(),
                                                body.getString(StandardCharsets.UTF_8))))
                .whenException(
                        exception ->
                                responseFuture.completeExceptionally(
                                        RequestFailureException.mayHaveRun(
                                                FailureCode.ANSWER_CUT,
                                                "Cannot read answer of endpoint: "
                                                        + service.name())));
    }

    /**
     * Signals that the deadline of a request passed. Its simple name is part of the failure's
     * message.
     */
    private static final class DeadlineException extends Exception {

        private static final long serialVersionUID = 1L;
    }
}
