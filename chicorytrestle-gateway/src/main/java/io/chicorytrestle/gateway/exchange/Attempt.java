package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.placement.Placement;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.core.route.Route;
import io.chicorytrestle.core.verdict.Verdict;
import io.chicorytrestle.gateway.dialect.ResponseMetadata;
import io.chicorytrestle.gateway.endpoint.EndpointConnection;
import io.chicorytrestle.gateway.endpoint.ResponseListener;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.ByteArrayOutputStream;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Sends a request to one endpoint and sorts its answer. It is confined to the event loop's thread.
 */
final class Attempt implements ResponseListener {

    /** The longest time in milliseconds for which a connection may have been idle to be used. */
    private static final long NO_IDLE_LIMIT_MILLIS = Long.MAX_VALUE;

    /** The bytes of a body beyond which it is passed on before it is complete. */
    private static final int MAXIMUM_BUFFERED_BYTES = 262_144;

    /** What all requests share. */
    private final GatewayContext context;

    /** The request. */
    private final Exchange exchange;

    /** The endpoint and why it was chosen. */
    private final Placement placement;

    /** Notices that the endpoint stays silent. */
    private final ProgressMonitor progressMonitor;

    /** The body of an answer that is held until it is complete. */
    private final ByteArrayOutputStream bufferedBody = new ByteArrayOutputStream(0);

    /** The connection, or null before there is one. */
    private @Nullable EndpointConnection connection;

    /** The head of the answer, or null before it arrived. */
    private @Nullable HttpResponse head;

    /** How the answer is treated. */
    private ResponseHandling handling = ResponseHandling.BUFFER;

    /** Whether the request was written. */
    private boolean isSent;

    /** Whether this attempt ended. */
    private boolean isEnded;

    /**
     * Creates a new attempt.
     *
     * @param context What all requests share.
     * @param exchange The request.
     * @param placement The endpoint and why it was chosen.
     * @param route The route.
     */
    Attempt(GatewayContext context, Exchange exchange, Placement placement, Route route) {
        this.context = context;
        this.exchange = exchange;
        this.placement = placement;
        progressMonitor =
                new ProgressMonitor(context, route, () -> exchange.onResponseTimeout(this));
    }

    /**
     * Returns what notices that the endpoint stays silent.
     *
     * @return What notices that the endpoint stays silent.
     */
    ProgressMonitor progressMonitor() {
        return progressMonitor;
    }

    /**
     * Returns the endpoint.
     *
     * @return The endpoint.
     */
    ServingEndpoint endpoint() {
        return placement.endpoint();
    }

    /**
     * Returns {@code true} if the request was written.
     *
     * @return {@code true} if the endpoint may have received the request.
     */
    boolean isSent() {
        return isSent;
    }

    /**
     * Returns {@code true} if an answer began to arrive.
     *
     * @return {@code true} if an answer began to arrive.
     */
    boolean isResponseStarted() {
        return head != null;
    }

    /**
     * Connects and sends the request.
     *
     * @param request Builds the request once there is a connection.
     * @param id The identifier of the request.
     */
    void begin(Supplier<FullHttpRequest> request, String id) {
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
     * Takes note of an endpoint that could not be connected to.
     *
     * @param failure Why.
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
     * Sends the request.
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
        connection = acquired;
        isSent = true;
        exchange.onSent(this);
        acquired.send(request.get(), id, this);
    }

    /** Gives up the attempt, since the endpoint should have answered by now. */
    void cancelTimedOut() {
        if (!isEnded && isSent) {
            context.outcomes().recordOutcome(endpoint().incarnation(), false, context.nowMillis());
        }
        cancel();
    }

    /** Gives up the attempt, so that the endpoint stops work. */
    void cancel() {
        if (!isEnded) {
            end();
            if (connection != null) {
                connection.cancel();
            }
        }
    }

    /** Takes note of the end of the attempt. */
    private void end() {
        isEnded = true;
        progressMonitor.end();
        context.loads().recordEnd(endpoint().incarnation());
    }

    @Override
    public void onHead(HttpResponse answer, ResponseMetadata facts) {
        head = answer;
        context.zoneReachability().recordContact(endpoint().zone(), context.nowMillis());
        facts.load()
                .ifPresent(
                        load ->
                                context.loads()
                                        .recordReport(
                                                endpoint().incarnation(),
                                                load,
                                                context.nowMillis()));
        if (!exchange.isStream()) {
            progressMonitor.end();
        }
        boolean isSuccess = answer.status().codeClass() == HttpStatusClass.SUCCESS;
        boolean isRefusal =
                facts.isNotExecuted()
                        || answer.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
        if (isRefusal) {
            handling = ResponseHandling.NOT_EXECUTED;
        } else if (isSuccess
                && (!facts.isSealed()
                        || answer.headers().contains(HttpHeaderNames.CONTENT_ENCODING))) {
            rejectResponse("answer is not the endpoint's own");
        } else if (!isSuccess && impliesNotExecuted(answer.status())) {
            handling = ResponseHandling.AMBIGUOUS;
        } else if (isSuccess && exchange.isStream()) {
            handling = ResponseHandling.STREAM;
            exchange.onStreamStarted(this, answer);
        }
    }

    /**
     * Returns {@code true} if callers take a status as the promise that the request never runs.
     *
     * @param status The status.
     * @return {@code true} if only a request that never runs may be answered with the status.
     */
    private static boolean impliesNotExecuted(HttpResponseStatus status) {
        return status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                || status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
                || status.equals(HttpResponseStatus.REQUEST_TIMEOUT);
    }

    /**
     * Gives up an answer that cannot be passed on.
     *
     * @param cause What is wrong with the answer.
     */
    private void rejectResponse(String cause) {
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
            bufferedBody.writeBytes(bytes);
            if (bufferedBody.size() > MAXIMUM_BUFFERED_BYTES && head != null) {
                handling = ResponseHandling.STREAM;
                exchange.onStreamStarted(this, head);
                exchange.onStreamContent(
                        this, io.netty.buffer.Unpooled.wrappedBuffer(bufferedBody.toByteArray()));
                bufferedBody.reset();
            }
        }
    }

    /** Reads no more while the caller reads slowly. */
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
        HttpResponse answer = head;
        if (isEnded || answer == null) {
            return;
        }
        end();
        String incarnation = endpoint().incarnation();
        boolean isServerError = answer.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        if (handling != ResponseHandling.NOT_EXECUTED) {
            context.connectionHealth().recordAnswer(incarnation);
            context.outcomes().recordOutcome(incarnation, !isServerError, context.nowMillis());
        }
        switch (handling) {
            case NOT_EXECUTED ->
                    exchange.onAttemptFailed(this, Verdict.NOT_RUN, "endpoint did not run it");
            case AMBIGUOUS ->
                    exchange.onAttemptFailed(
                            this, Verdict.MAY_HAVE_RUN, "endpoint answered " + answer.status());
            case STREAM -> exchange.onStreamCompleted(this);
            case BUFFER -> exchange.onResponse(this, answer, bufferedBody.toByteArray());
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

    /** Takes note of the end of the attempt without an answer. */
    private void endWithFailure() {
        end();
        context.connectionHealth()
                .recordConnectionFailure(endpoint().incarnation(), context.nowMillis());
        context.outcomes().recordOutcome(endpoint().incarnation(), false, context.nowMillis());
    }

    /** Enumerates how an answer is treated. */
    private enum ResponseHandling {

        /** It is held until it is complete. */
        BUFFER,

        /** It is passed on as it arrives. */
        STREAM,

        /** It states that the request was not run. */
        NOT_EXECUTED,

        /** Its status would be read as a promise that the endpoint did not make. */
        AMBIGUOUS
    }
}
