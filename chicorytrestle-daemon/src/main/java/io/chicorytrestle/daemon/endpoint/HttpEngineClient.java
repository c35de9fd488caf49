package io.chicorytrestle.daemon.endpoint;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.flogger.FluentLogger;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.chicorytrestle.core.endpoint.EngineClient;
import io.chicorytrestle.core.endpoint.FrameListener;
import io.chicorytrestle.core.endpoint.GenerateRequest;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.daemon.loop.EventLoopPool;
import io.chicorytrestle.daemon.loop.MonotonicClock;
import io.chicorytrestle.daemon.settings.Settings;
import java.util.List;
import java.util.function.Supplier;

/** Sends requests to engines over HTTP, from the event loop of the calling thread if it is one. */
public final class HttpEngineClient implements EngineClient {

    /** The logger of this class. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The HTTP status of a successful response. */
    private static final int OK = 200;

    /** The event loops that send. */
    private final EventLoopPool loops;

    /** The channels, in the order of the event loops. */
    private final List<EndpointChannel> channels;

    /** The maximum number of milliseconds without a frame of an engine. */
    private final int silenceTimeoutMillis;

    /**
     * Creates a client.
     *
     * @param loops The event loops that send.
     * @param channels The channels, in the order of the event loops.
     * @param silenceTimeoutMillis The maximum number of milliseconds without a frame of an engine.
     */
    private HttpEngineClient(
            EventLoopPool loops, List<EndpointChannel> channels, int silenceTimeoutMillis) {
        this.loops = loops;
        this.channels = channels;
        this.silenceTimeoutMillis = silenceTimeoutMillis;
    }

    /**
     * Creates a client.
     *
     * @param loops The event loops that send.
     * @param settings The settings for connections to endpoints.
     * @param clock Supplies the current time.
     * @return The client.
     */
    public static HttpEngineClient make(
            EventLoopPool loops, Settings.Endpoints settings, MonotonicClock clock) {
        return new HttpEngineClient(
                loops, EndpointChannel.of(loops, settings, clock), settings.silenceTimeoutMillis());
    }

    @Override
    public void generate(Endpoint engine, GenerateRequest request, FrameListener listener) {
        byte[] body = GenerateBody.of(request).toBytes();
        openStream(
                engine,
                () ->
                        HttpRequest.post(EndpointProtocol.urlOf(engine, "/v1/generate"))
                                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                                .withHeader(EndpointProtocol.REQUEST_ID, request.requestId())
                                .withBody(body)
                                .build(),
                listener);
    }

    @Override
    public void resume(
            Endpoint engine, String requestId, long fromSequence, FrameListener listener) {
        String path =
                "/v1/requests/%s?from=%d"
                        .formatted(EndpointProtocol.urlEncode(requestId), fromSequence);
        openStream(
                engine,
                () -> HttpRequest.get(EndpointProtocol.urlOf(engine, path)).build(),
                listener);
    }

    @Override
    public void cancel(Endpoint engine, String requestId) {
        String path = "/v1/requests/" + EndpointProtocol.urlEncode(requestId);
        EndpointChannel channel = channels.get(loops.currentOrNextIndex());
        channel.loop()
                .execute(
                        () ->
                                channel.send(
                                                HttpRequest.builder(
                                                                HttpMethod.DELETE,
                                                                EndpointProtocol.urlOf(
                                                                        engine, path))
                                                        .build(),
                                                new WriteTracker(nowMillis -> true))
                                        .whenException(
                                                exception ->
                                                        LOGGER.atFine().log(
                                                                "Cannot cancel request %s at %s",
                                                                requestId, engine.name())));
    }

    /**
     * Sends a request whose response is a stream of frames.
     *
     * @param engine The engine.
     * @param request Builds the request; called in the event loop.
     * @param listener Receives the frames.
     */
    private void openStream(
            Endpoint engine, Supplier<HttpRequest> request, FrameListener listener) {
        EndpointChannel channel = channels.get(loops.currentOrNextIndex());
        FrameStreamReader stream =
                new FrameStreamReader(channel.loop(), engine, listener, silenceTimeoutMillis);
        Runnable sendTask =
                () -> {
                    WriteTracker tracker = new WriteTracker(nowMillis -> true);
                    stream.start();
                    channel.send(request.get(), tracker)
                            .whenResult(response -> handleResponse(engine, response, stream))
                            .whenException(
                                    exception ->
                                            stream.fail(
                                                    tracker.toFailure(engine.name(), exception)));
                };
        if (channel.loop().inReactorThread()) {
            sendTask.run();
        } else {
            channel.loop().execute(sendTask);
        }
    }

    /**
     * Passes a response to the reader of its frames, or fails the stream if the status is
     * unexpected.
     *
     * @param engine The engine.
     * @param response The response.
     * @param stream Reads the frames.
     */
    private static void handleResponse(
            Endpoint engine, HttpResponse response, FrameStreamReader stream) {
        if (response.getCode() == OK) {
            stream.readBody(response.takeBodyStream());
        } else {
            stream.fail(EndpointProtocol.toFailure(engine, response));
        }
    }

    /**
     * The JSON body of a request to generate text.
     *
     * @param requestId The identifier of the request.
     * @param workspace The workspace of the chat.
     * @param chat The chat within the workspace.
     * @param model The model.
     * @param prompt The complete prompt.
     * @param maximumTokens The maximum number of tokens to generate.
     * @param priority The priority of the workspace.
     */
    private record GenerateBody(
            String requestId,
            String workspace,
            String chat,
            String model,
            String prompt,
            int maximumTokens,
            int priority) {

        /**
         * Converts a request to its body.
         *
         * @param request The request.
         * @return The body.
         */
        static GenerateBody of(GenerateRequest request) {
            return new GenerateBody(
                    request.requestId(),
                    request.chat().workspace(),
                    request.chat().chat(),
                    request.model(),
                    request.prompt(),
                    request.maximumTokens(),
                    request.priority());
        }

        /**
         * Serialises this body as JSON.
         *
         * @return The JSON in UTF-8.
         * @throws IllegalStateException If the body cannot be serialised.
         */
        byte[] toBytes() {
            try {
                return EndpointProtocol.MAPPER.writeValueAsBytes(this);
            } catch (JsonProcessingException exception) {
                throw new IllegalStateException(
                        "Cannot serialise request: " + requestId, exception);
            }
        }
    }
}
