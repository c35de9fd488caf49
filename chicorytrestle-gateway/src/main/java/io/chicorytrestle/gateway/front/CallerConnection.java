package io.chicorytrestle.gateway.front;

import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.chicorytrestle.core.route.RequestLimits;
import io.chicorytrestle.gateway.link.HeadAwareResponseEncoder;
import io.chicorytrestle.gateway.link.HttpConnection;
import io.chicorytrestle.gateway.link.LocalResponses;
import io.chicorytrestle.gateway.link.StrictRequestDecoder;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.io.ByteArrayOutputStream;
import org.jspecify.annotations.Nullable;

/**
 * Serves one caller's connection: reads its requests one at a time and detects when the caller
 * disconnects. Confined to the event loop thread.
 */
final class CallerConnection implements HttpConnection.Listener, ResponseSink {

    /** The server that accepted this connection. */
    private final FrontHttpServer server;

    /** The request limits in force when the connection was accepted. */
    private final RequestLimits requestLimits;

    /** Encodes responses; set before each one to omit the body if the request was a HEAD. */
    private final HeadAwareResponseEncoder encoder = new HeadAwareResponseEncoder();

    /** Carries the HTTP messages. */
    private final HttpConnection connection;

    /** The head of the request being received or processed, or null between requests. */
    private @Nullable HttpRequest requestHead;

    /**
     * The body bytes received so far; reserved with the server and released when the response ends.
     */
    private ByteArrayOutputStream requestBody = new ByteArrayOutputStream(0);

    /**
     * Cancels the work on the current request when the caller disconnects; null between requests.
     */
    private @Nullable Runnable onCallerDisconnect;

    /** Idle or receive time-out, or null while a response is being produced. */
    private @Nullable ScheduledRunnable timer;

    /** The time in milliseconds at which the connection was accepted. */
    private final long acceptedMillis;

    /** The earliest time in milliseconds at which the connection can have been established. */
    private final long establishedMillis;

    /** The earliest time in milliseconds at which the current request can have arrived. */
    private long arrivedMillis;

    /** Whether bytes of a request were received but its head is not complete yet. */
    private boolean isHeadPending;

    /** Whether a response is being produced. */
    private boolean isResponding;

    /** Whether the connection closes after the current response. */
    private boolean closesAfterResponse;

    /** Whether the head of the current response was sent. */
    private boolean isResponseStarted;

    /** Whether the caller closed its sending side. */
    private boolean isInputEnded;

    /**
     * Wraps an accepted socket.
     *
     * @param server The server that accepted the connection.
     * @param socket The socket.
     * @param limits The request limits, fixed for the life of the connection.
     */
    CallerConnection(FrontHttpServer server, ITcpSocket socket, RequestLimits limits) {
        this.server = server;
        this.requestLimits = limits;
        acceptedMillis = server.nowMillis();
        establishedMillis = server.earliestEstablishmentMillis();
        connection =
                HttpConnection.of(
                        socket, this, new StrictRequestDecoder(limits.headerBytes()), encoder);
    }

    /** Starts reading and arms the idle time-out. */
    void start() {
        startTimer(requestLimits.idleTimeoutMillis());
        connection.startReading();
    }

    /**
     * Returns whether no request is being received or processed.
     *
     * @return {@code true} if closing the connection loses no request or response.
     */
    boolean isIdle() {
        return !isResponding
                && !isHeadPending
                && requestHead == null
                && !connection.hasUndelivered();
    }

    /** Closes the connection and releases the memory reserved for its body. */
    void close() {
        stopTimer();
        connection.close();
        server.removeConnection(this);
        server.releaseBodyBytes(requestBody.size());
        requestBody = new ByteArrayOutputStream(0);
    }

    @Override
    public void onBytesReceived() {
        if (!isResponding && !isHeadPending && requestHead == null) {
            isHeadPending = true;
            arrivedMillis = earliestArrivalMillis();
            startTimer(requestLimits.headerTimeoutMillis());
        }
    }

    /**
     * Returns the earliest time at which the bytes that are read now can have arrived. Bytes found
     * by the first poll after the connection was accepted may be as old as the connection.
     *
     * @return The time in milliseconds.
     */
    private long earliestArrivalMillis() {
        long earliestMillis = server.earliestArrivalMillis();
        return earliestMillis <= acceptedMillis + FrontHttpServer.ROUNDING_MILLIS
                ? establishedMillis
                : earliestMillis;
    }

    @Override
    public void onMessage(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            reject(decodeFailureStatus(message.decoderResult().cause()), "request is malformed");
            return;
        }
        if (message instanceof HttpRequest request && !handleHead(request)) {
            return;
        }
        if (message instanceof HttpContent content && requestHead != null) {
            handleContent(content);
        }
    }

    /**
     * Maps a decoder failure to a response status.
     *
     * @param cause The decoder's exception.
     * @return 431 for an oversized request line or header section, otherwise 400.
     */
    private static HttpResponseStatus decodeFailureStatus(Throwable cause) {
        return cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST;
    }

    /**
     * Validates the head of a request and starts receiving its body.
     *
     * @param request The head.
     * @return {@code true} if accepted, {@code false} if rejected.
     */
    private boolean handleHead(HttpRequest request) {
        if (!StrictRequestDecoder.hasUnambiguousFraming(request)) {
            reject(HttpResponseStatus.BAD_REQUEST, "framing of the request is ambiguous");
            return false;
        }
        if (HttpUtil.getContentLength(request, 0L) > requestLimits.bodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too long");
            return false;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            connection.write(LocalResponses.continueRequest());
        }
        requestHead = request;
        isHeadPending = false;
        startTimer(requestLimits.idleTimeoutMillis());
        return true;
    }

    /**
     * Buffers a chunk of the body and dispatches the request after the last one.
     *
     * @param content The chunk.
     */
    private void handleContent(HttpContent content) {
        int size = content.content().readableBytes();
        if (size > 0) {
            if (requestBody.size() + (long) size > requestLimits.bodyBytes()) {
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too long");
                return;
            }
            if (!server.reserveBodyBytes(size)) {
                reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "instance holds too many bodies");
                return;
            }
            byte[] bytes = new byte[size];
            content.content().readBytes(bytes);
            requestBody.writeBytes(bytes);
        }
        if (content instanceof LastHttpContent) {
            dispatchRequest();
        }
    }

    /**
     * Passes the complete request to the handler. Further pipelined requests wait until the
     * response is finished.
     */
    private void dispatchRequest() {
        HttpRequest request = requestHead;
        if (request == null) {
            return;
        }
        stopTimer();
        connection.suspendDelivery();
        isResponding = true;
        isResponseStarted = false;
        closesAfterResponse = !HttpUtil.isKeepAlive(request);
        encoder.setHeadRequest(request.method().equals(HttpMethod.HEAD));
        byte[] body = requestBody.toByteArray();
        Runnable action = server.handler().handle(request, body, arrivedMillis, this);
        if (isResponding) {
            onCallerDisconnect = action;
        }
    }

    @Override
    public void sendHead(HttpResponse response) {
        isResponseStarted = true;
        closesAfterResponse |= server.isDraining();
        response.headers().remove(HttpHeaderNames.CONNECTION);
        if (closesAfterResponse) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        connection.write(response);
    }

    @Override
    public void send(HttpContent content) {
        boolean isEnd = content instanceof LastHttpContent;
        connection.write(content);
        if (isEnd) {
            finishResponse();
        }
    }

    /** Closes the connection after a complete response, or prepares it for the next request. */
    private void finishResponse() {
        server.releaseBodyBytes(requestBody.size());
        requestBody = new ByteArrayOutputStream(0);
        requestHead = null;
        onCallerDisconnect = null;
        isResponding = false;
        if (connection.isClosed()) {
            close();
        } else if (closesAfterResponse || isInputEnded) {
            connection.whenDrained(this::close);
        } else {
            startTimer(requestLimits.idleTimeoutMillis());
            arrivedMillis = server.earliestArrivalMillis();
            connection.resumeDelivery();
        }
    }

    @Override
    public void abort() {
        isResponding = false;
        onCallerDisconnect = null;
        close();
    }

    @Override
    public boolean isCongested() {
        return connection.isCongested();
    }

    @Override
    public void whenDrained(Runnable action) {
        connection.whenDrained(action);
    }

    @Override
    public void onEndOfStream() {
        isInputEnded = true;
        handleDisconnect();
    }

    @Override
    public void onFailure(Exception cause) {
        handleDisconnect();
    }

    /** Cancels the current request and closes the connection after the caller disconnected. */
    private void handleDisconnect() {
        Runnable action = onCallerDisconnect;
        onCallerDisconnect = null;
        isResponding = false;
        if (action != null) {
            action.run();
        }
        close();
    }

    /**
     * Rejects a request that was not passed to the handler, and closes the connection. If a
     * response is already partly sent, the connection is aborted instead.
     *
     * @param status The response status.
     * @param reason What was rejected and why; sent as the response body.
     */
    private void reject(HttpResponseStatus status, String reason) {
        stopTimer();
        server.reportRejection(status, reason);
        connection.suspendDelivery();
        closesAfterResponse = true;
        isResponding = true;
        if (isResponseStarted && requestHead != null) {
            abort();
            return;
        }
        connection.write(LocalResponses.closingConnection(status, reason));
        connection.whenDrained(this::close);
    }

    /**
     * Arms the time-out for the next request or for the rest of the current one.
     *
     * @param millis The time-out in milliseconds.
     */
    private void startTimer(long millis) {
        stopTimer();
        timer = server.schedule(millis, this::handleTimeout);
    }

    /** Closes an idle connection, or rejects a partly received request with status 408. */
    private void handleTimeout() {
        timer = null;
        if (requestHead == null && !isHeadPending) {
            close();
        } else {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "request did not arrive in time");
        }
    }

    /** Cancels the time-out, if armed. */
    private void stopTimer() {
        if (timer != null && timer.isActive()) {
            timer.cancel();
        }
        timer = null;
    }
}
