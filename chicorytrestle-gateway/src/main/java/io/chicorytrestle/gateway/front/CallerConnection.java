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
 * Reads one caller's requests, one at a time, and notices when the caller leaves. It is confined to
 * the event loop's thread.
 */
final class CallerConnection implements HttpConnection.Listener, ResponseSink {

    /** The front. */
    private final FrontHttpServer server;

    /** The bounds that held when the connection was made. */
    private final RequestLimits requestLimits;

    /** Encodes answers. */
    private final HeadAwareResponseEncoder encoder = new HeadAwareResponseEncoder();

    /** The connection. */
    private final HttpConnection connection;

    /** The head of the request that is being received, or null between requests. */
    private @Nullable HttpRequest requestHead;

    /** The body of the request that is being received. */
    private ByteArrayOutputStream requestBody = new ByteArrayOutputStream(0);

    /** Called if the caller leaves, or null while no request is being answered. */
    private @Nullable Runnable onCallerDisconnect;

    /** Ends the wait for the next request or the rest of one, or null while one is answered. */
    private @Nullable ScheduledRunnable timer;

    /** Whether part of a request's head may have arrived. */
    private boolean isHeadPending;

    /** Whether a request is being answered. */
    private boolean isResponding;

    /** Whether the connection ends with the answer under way. */
    private boolean closesAfterResponse;

    /** Whether part of the answer under way was sent. */
    private boolean isResponseStarted;

    /** Whether the caller ended its stream. */
    private boolean isInputEnded;

    /**
     * Creates a new connection.
     *
     * @param front The front.
     * @param socket The socket.
     * @param limits The bounds of requests.
     */
    CallerConnection(FrontHttpServer front, ITcpSocket socket, RequestLimits limits) {
        this.server = front;
        this.requestLimits = limits;
        connection =
                HttpConnection.of(
                        socket, this, new StrictRequestDecoder(limits.headerBytes()), encoder);
    }

    /** Starts to read. */
    void start() {
        startTimer(requestLimits.idleTimeoutMillis());
        connection.startReading();
    }

    /**
     * Returns {@code true} if no request is being received or answered.
     *
     * @return {@code true} if the connection can be closed without a loss.
     */
    boolean isIdle() {
        return !isResponding
                && !isHeadPending
                && requestHead == null
                && !connection.hasUndelivered();
    }

    /** Closes the connection. */
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
            startTimer(requestLimits.headerTimeoutMillis());
        }
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
     * Returns the status for a request that could not be decoded.
     *
     * @param cause Why it could not be decoded.
     * @return The status.
     */
    private static HttpResponseStatus decodeFailureStatus(Throwable cause) {
        return cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST;
    }

    /**
     * Takes the head of a request.
     *
     * @param request The head.
     * @return {@code true} if the request may go on.
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
     * Takes a piece of the body.
     *
     * @param content The piece.
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

    /** Hands the whole request to the handler. */
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
        byte[] whole = requestBody.toByteArray();
        Runnable action = server.handler().handle(request, whole, this);
        if (isResponding) {
            onCallerDisconnect = action;
        }
    }

    @Override
    public void sendHead(HttpResponse answer) {
        isResponseStarted = true;
        closesAfterResponse |= server.isDraining();
        answer.headers().remove(HttpHeaderNames.CONNECTION);
        if (closesAfterResponse) {
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        connection.write(answer);
    }

    @Override
    public void send(HttpContent content) {
        boolean isEnd = content instanceof LastHttpContent;
        connection.write(content);
        if (isEnd) {
            finishResponse();
        }
    }

    /** Prepares for the next request after a complete answer. */
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

    /** Stops work for a caller that left. */
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
     * Refuses a request that was not passed on and closes the connection.
     *
     * @param status The status.
     * @param reason What was refused and why.
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
     * Waits for the next request or the rest of one.
     *
     * @param millis The longest time in milliseconds.
     */
    private void startTimer(long millis) {
        stopTimer();
        timer = server.schedule(millis, this::handleTimeout);
    }

    /** Ends the wait for a request. */
    private void handleTimeout() {
        timer = null;
        if (requestHead == null && !isHeadPending) {
            close();
        } else {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "request did not arrive in time");
        }
    }

    /** Stops the timer. */
    private void stopTimer() {
        if (timer != null && timer.isActive()) {
            timer.cancel();
        }
        timer = null;
    }
}
