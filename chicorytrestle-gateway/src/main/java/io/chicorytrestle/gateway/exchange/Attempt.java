package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.placement.Placement;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.core.route.Route;
import io.chicorytrestle.core.verdict.Verdict;
import io.chicorytrestle.gateway.dialect.ResponseMetadata;
import io.chicorytrestle.gateway.endpoint.EndpointConnection;
import io.chicorytrestle.gateway.endpoint.ResponseListener;
import io.chicorytrestle.gateway.link.BodyFraming;
import io.chicorytrestle.gateway.link.SegmentedBuffer;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Sends a request to one endpoint and classifies its response. It is confined to the event loop's
 * thread.
 */
final class Attempt implements ResponseListener {

    /** The limit for the idle time of a reused connection, in milliseconds: none. */
    private static final long NO_IDLE_LIMIT_MILLIS = Long.MAX_VALUE;

    /** The size in bytes beyond which a buffered body is forwarded before it is complete. */
    private static final int MAXIMUM_BUFFERED_BYTES = 262_144;

    /** The same while memory is short. */
    private static final int MAXIMUM_BUFFERED_BYTES_IF_SHORT = 16_384;

    /** The state that all requests share. */
    private final GatewayContext context;

    /** The request. */
    private final Exchange exchange;

    /** The chosen endpoint and the reason for the choice. */
    private final Placement placement;

    /** Detects that the endpoint sends no response in time. */
    private final ProgressMonitor progressMonitor;

    /** The body of a response that is forwarded only once it is complete. */
    private final SegmentedBuffer bufferedBody = new SegmentedBuffer();

    /** The bytes of a body that no caller receives. */
    private long discardedBytes;

    /** The connection, or null before it is established. */
    private @Nullable EndpointConnection connection;

    /** The head of the response, or null before it arrived. */
    private @Nullable HttpResponse head;

    /** How the response is handled. */
    private ResponseHandling handling = ResponseHandling.BUFFER;

    /** Whether the request was handed to the connection. */
    private boolean isSent;

    /** The time of the start in milliseconds. */
    private long startedMillis;

    /** How the response declares the end of its body. */
    private BodyFraming framing = BodyFraming.NONE;

    /** Whether this attempt ended; later events are ignored. */
    private boolean isEnded;

    /**
     * Creates an attempt; {@link #begin} starts it.
     *
     * @param context The state that all requests share.
     * @param exchange The request, which receives the result.
     * @param placement The chosen endpoint and the reason for the choice.
     * @param route The route, which sets the time-outs.
     */
    Attempt(GatewayContext context, Exchange exchange, Placement placement, Route route) {
        this.context = context;
        this.exchange = exchange;
        this.placement = placement;
        progressMonitor =
                new ProgressMonitor(context, route, () -> exchange.onResponseTimeout(this));
    }

    /**
     * Returns the monitor of the endpoint's progress.
     *
     * @return The monitor, which the exchange starts and updates.
     */
    ProgressMonitor progressMonitor() {
        return progressMonitor;
    }

    /**
     * Returns the endpoint of this attempt.
     *
     * @return The endpoint.
     */
    ServingEndpoint endpoint() {
        return placement.endpoint();
    }

    /**
     * Returns {@code true} if the request was handed to a connection.
     *
     * @return {@code true} if the endpoint may have received the request.
     */
    boolean isSent() {
        return isSent;
    }

    /**
     * Returns {@code true} if the head of a response arrived.
     *
     * @return {@code true} if the head of a response arrived.
     */
    boolean isResponseStarted() {
        return head != null;
    }

    /**
     * Acquires a connection and sends the request.
     *
     * @param request Builds the request once there is a connection.
     * @param id The identifier of the request, which the response must carry.
     */
    void begin(Supplier<FullHttpRequest> request, String id) {
        startedMillis = context.nowMillis();
        context.loads().recordStart(endpoint().incarnation());
        context.endpointConnections()
                .acquire(endpoint(), NO_IDLE_LIMIT_MILLIS)
                .whenComplete(
                        (acquired, failure) -> {
                            if (failure != null) {
                                connectFailed(failure);
                            } else {
                                send(acquired, request, id);
                            }
                        });
    }

    /**
     * Records that no connection to the endpoint could be established. The request did not run.
     *
     * @param failure The failure of the connection.
     */
    private void connectFailed(Exception failure) {
        if (isEnded) {
            return;
        }
        end();
        context.connectionHealth()
                .recordConnectionFailure(endpoint().incarnation(), context.nowMillis());
        exchange.onAttemptFailed(this, Verdict.NOT_RUN, "no connection: " + failure.getMessage());
    }

    /**
     * Sends the request, unless the attempt was cancelled in the meantime.
     *
     * @param acquired The connection.
     * @param request Builds the request.
     * @param id The identifier of the request.
     */
    private void send(EndpointConnection acquired, Supplier<FullHttpRequest> request, String id) {
        if (isEnded) {
            acquired.cancel();
            return;
        }
        if (!exchange.hasTimeToSend()) {
            withhold(acquired, "deadline passed while connecting");
            return;
        }
        if (context.leavingEndpoints().isLeaving(endpoint().incarnation())) {
            acquired.cancel();
            endUnsent("endpoint began to leave while connecting");
            return;
        }
        if (context.evacuations().zones().contains(endpoint().zone())) {
            context.metrics().counter("requests_withheld_total", "evacuated").inc();
            withhold(acquired, "zone was evacuated while connecting");
            return;
        }
        if (context.backoffs().isActive(endpoint().incarnation(), context.nowMillis())) {
            withhold(acquired, "endpoint asked for no requests while connecting");
            return;
        }
        if (!context.coldStarts().trySend(endpoint(), context.nowMillis())) {
            withhold(acquired, "endpoint is cold and got its requests while connecting");
            return;
        }
        connection = acquired;
        isSent = true;
        exchange.onSent(this);
        acquired.send(request.get(), id, this);
    }

    /**
     * Ends the attempt before anything was sent, and keeps the connection for other requests.
     *
     * @param unused The connection.
     * @param cause Why the request is not sent.
     */
    private void withhold(EndpointConnection unused, String cause) {
        context.endpointConnections().giveBack(unused);
        endUnsent(cause);
    }

    /**
     * Ends the attempt before anything was sent.
     *
     * @param cause Why the request is not sent.
     */
    private void endUnsent(String cause) {
        end();
        exchange.onAttemptFailed(this, Verdict.NOT_RUN, cause);
    }

    /** Cancels the attempt after a time-out and records a failure of the endpoint. */
    void cancelTimedOut() {
        if (!isEnded && isSent) {
            context.outcomes().recordOutcome(endpoint().incarnation(), false, context.nowMillis());
        }
        cancel();
    }

    /** Cancels the attempt and closes its connection, so that the endpoint stops working on it. */
    void cancel() {
        if (!isEnded) {
            end();
            if (connection != null) {
                connection.cancel();
            }
        }
    }

    /** Stops the progress monitor and releases the endpoint's load. */
    private void end() {
        isEnded = true;
        progressMonitor.end();
        context.loads().recordEnd(endpoint().incarnation());
        context.loads().recordDuration(endpoint().service(), context.nowMillis() - startedMillis);
        context.backoffs().recordEnd(endpoint().incarnation(), context.nowMillis());
    }

    @Override
    public void onHead(
            HttpResponse response, BodyFraming responseFraming, ResponseMetadata metadata) {
        head = response;
        framing = responseFraming;
        exchange.onHead(framing);
        context.zoneReachability().recordContact(endpoint().zone(), context.nowMillis());
        context.partCrashes().recordAnswer(endpoint().incarnation(), context.nowMillis());
        metadata.load()
                .ifPresent(
                        load ->
                                context.loads()
                                        .recordReport(
                                                endpoint().incarnation(),
                                                load,
                                                context.nowMillis()));
        // A misdirected request has reached another endpoint at an address that is used again.
        if (metadata.isLeaving()
                && !response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
            context.leavingEndpoints().markLeaving(endpoint().incarnation(), context.nowMillis());
        }
        recordBackoff(response, metadata);
        if (!exchange.isStream()) {
            progressMonitor.end();
        }
        boolean isSuccess = response.status().codeClass() == HttpStatusClass.SUCCESS;
        // Only a response that names the request can promise that it never runs.
        boolean isNotExecuted =
                metadata.requestId().isPresent()
                        && (metadata.isNotExecuted()
                                || response.status()
                                        .equals(HttpResponseStatus.MISDIRECTED_REQUEST));
        if (isNotExecuted) {
            handling = ResponseHandling.NOT_EXECUTED;
        } else if (isSuccess
                && (!metadata.isSealed()
                        || response.headers().contains(HttpHeaderNames.CONTENT_ENCODING))) {
            rejectResponse("response is not sealed, or is content-encoded");
        } else if (isSuccess && exchange.isStream() && !exchange.isAcceptableStream(response)) {
            rejectResponse("response does not continue the stream");
        } else if (!isSuccess && impliesNotExecuted(response.status())) {
            handling = ResponseHandling.AMBIGUOUS;
        } else if (isSuccess && exchange.isStream()) {
            handling = ResponseHandling.STREAM;
            exchange.onStreamStarted(this, response);
        }
    }

    /**
     * Records for how long the endpoint wants no requests, or that it accepts them.
     *
     * @param response The head of the response.
     * @param metadata What its headers state.
     */
    private void recordBackoff(HttpResponse response, ResponseMetadata metadata) {
        long nowMillis = context.nowMillis();
        if (response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                && metadata.retryAfterMillis().isPresent()) {
            long backoffMillis = metadata.retryAfterMillis().getAsLong();
            if (context.backoffs().record(endpoint().incarnation(), backoffMillis, nowMillis)) {
                exchange.onBackoff(this, backoffMillis);
            }
        } else {
            context.backoffs().recordEnd(endpoint().incarnation(), nowMillis);
        }
    }

    /**
     * Returns {@code true} if callers interpret a status as a promise that the request never runs.
     *
     * @param status The status of a response.
     * @return {@code true} if the status may only be forwarded for a request that never runs.
     */
    private static boolean impliesNotExecuted(HttpResponseStatus status) {
        return status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                || status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
                || status.equals(HttpResponseStatus.REQUEST_TIMEOUT)
                || status.equals(HttpResponseStatus.MISDIRECTED_REQUEST);
    }

    /**
     * Discards a response that must not be forwarded, and ends the attempt.
     *
     * @param cause What is wrong with the response.
     */
    void rejectResponse(String cause) {
        if (connection != null) {
            connection.cancel();
        }
        onInvalidResponse(cause);
    }

    @Override
    public void onContent(ByteBuf content) {
        if (isEnded) {
            return;
        }
        if (handling == ResponseHandling.STREAM) {
            context.zoneReachability().recordContact(endpoint().zone(), context.nowMillis());
            exchange.onStreamContent(this, content);
            pauseWhileCongested();
        } else if (handling == ResponseHandling.BUFFER) {
            byte[] bytes = new byte[content.readableBytes()];
            content.readBytes(bytes);
            bufferedBody.append(bytes, 0, bytes.length);
            boolean hasMemory = exchange.caller().holdBuffered(bufferedBody.size());
            if (bufferedBody.size() > MAXIMUM_BUFFERED_BYTES && exchange.isResponseStarted()) {
                rejectResponse("failure of a resumed stream is too large to be read");
            } else if (bufferedBody.size() > maximumBufferedBytes(hasMemory)
                    && !exchange.isResponseStarted()
                    && head != null) {
                handling = ResponseHandling.STREAM;
                exchange.caller().holdBuffered(0);
                exchange.onStreamStarted(this, head);
                exchange.onStreamContent(
                        this, io.netty.buffer.Unpooled.wrappedBuffer(bufferedBody.take()));
            }
        } else {
            discardedBytes += content.readableBytes();
            if (discardedBytes > MAXIMUM_BUFFERED_BYTES && connection != null) {
                connection.cancel();
                onComplete();
            }
        }
    }

    /**
     * Returns the size beyond which a buffered body is forwarded before it is complete.
     *
     * @param hasMemory Whether the instance holds no more than it may.
     * @return The size in bytes.
     */
    private static int maximumBufferedBytes(boolean hasMemory) {
        return hasMemory ? MAXIMUM_BUFFERED_BYTES : MAXIMUM_BUFFERED_BYTES_IF_SHORT;
    }

    /** Stops reading from the endpoint until the caller has read what was forwarded. */
    private void pauseWhileCongested() {
        EndpointConnection reading = connection;
        if (reading != null && exchange.caller().isCongested()) {
            reading.pause();
            progressMonitor.pause();
            exchange.caller()
                    .whenDrained(
                            () -> {
                                progressMonitor.recordProgress();
                                reading.resume();
                            });
        }
    }

    @Override
    public void onComplete() {
        HttpResponse response = head;
        if (isEnded || response == null) {
            return;
        }
        if (handling == ResponseHandling.STREAM && exchange.isBrokenOff(framing)) {
            onConnectionLost("stream was broken off");
            return;
        }
        end();
        String incarnation = endpoint().incarnation();
        boolean isServerError = response.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        if (handling != ResponseHandling.NOT_EXECUTED) {
            context.connectionHealth().recordAnswer(incarnation);
            context.outcomes().recordOutcome(incarnation, !isServerError, context.nowMillis());
        }
        switch (handling) {
            case NOT_EXECUTED ->
                    exchange.onAttemptFailed(this, Verdict.NOT_RUN, "endpoint did not run it");
            case AMBIGUOUS ->
                    exchange.onAttemptFailed(
                            this,
                            Verdict.MAY_HAVE_RUN,
                            "endpoint responded with " + response.status());
            case STREAM -> exchange.onStreamCompleted(this, response);
            case BUFFER -> exchange.onResponse(this, response, bufferedBody.take());
        }
    }

    @Override
    public void onInvalidResponse(String cause) {
        if (!isEnded) {
            endWithFailure();
            exchange.onAttemptFailed(this, Verdict.MAY_HAVE_RUN, cause);
        }
    }

    @Override
    public void onConnectionLost(String cause) {
        if (!isEnded) {
            endWithFailure();
            exchange.onConnectionLost(this, cause);
        }
    }

    /** Ends the attempt and records a failed connection and a failed outcome for the endpoint. */
    private void endWithFailure() {
        end();
        context.connectionHealth()
                .recordConnectionFailure(endpoint().incarnation(), context.nowMillis());
        context.outcomes().recordOutcome(endpoint().incarnation(), false, context.nowMillis());
    }

    /** Enumerates how a response is handled. */
    private enum ResponseHandling {

        /** It is buffered and forwarded once it is complete. */
        BUFFER,

        /** It is forwarded as it arrives. */
        STREAM,

        /** It states that the request was not executed. */
        NOT_EXECUTED,

        /** Its status implies that the request never runs, which the endpoint did not state. */
        AMBIGUOUS
    }
}
