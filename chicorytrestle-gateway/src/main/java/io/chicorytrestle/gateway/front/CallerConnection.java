package io.chicorytrestle.gateway.front;

import io.activej.net.socket.tcp.ITcpSocket;
import io.chicorytrestle.core.admission.HeldBytes;
import io.chicorytrestle.core.route.RequestLimits;
import io.chicorytrestle.gateway.link.HeadAwareResponseEncoder;
import io.chicorytrestle.gateway.link.HeaderCost;
import io.chicorytrestle.gateway.link.HttpConnection;
import io.chicorytrestle.gateway.link.LocalResponses;
import io.chicorytrestle.gateway.link.SegmentedBuffer;
import io.chicorytrestle.gateway.link.StrictRequestDecoder;
import io.netty.handler.codec.http.FullHttpResponse;
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
import org.jspecify.annotations.Nullable;

/**
 * Serves one caller's connection: reads its requests one at a time and detects when the caller
 * disconnects. Confined to the event loop thread.
 */
final class CallerConnection implements HttpConnection.Listener, ResponseSink, HeldBytes.Owner {

    /** The memory in bytes that a request takes until it is complete, besides its body. */
    private static final long RECEIVE_BUFFER_BYTES = 16_384;

    /** The memory in bytes of what an endpoint has sent while reading from it is paused. */
    private static final long PAUSED_ENDPOINT_BYTES = 32_768;

    /** The copies of a body: as received and as sent to an endpoint. */
    private static final long BODY_COPIES = 2;

    /** The server that accepted this connection. */
    private final FrontHttpServer server;

    /** The request limits in force when the connection was accepted. */
    private final RequestLimits requestLimits;

    /** Encodes responses; set before each one to omit the body if the request was a HEAD. */
    private final HeadAwareResponseEncoder encoder = new HeadAwareResponseEncoder();

    /** Decodes requests. */
    private final StrictRequestDecoder decoder;

    /** Carries the HTTP messages. */
    private final HttpConnection connection;

    /** The head of the request being received or processed, or null between requests. */
    private @Nullable HttpRequest requestHead;

    /** The memory in bytes of the head of the current request. */
    private long headCostBytes;

    /** The body bytes received so far. */
    private final SegmentedBuffer requestBody = new SegmentedBuffer();

    /** What is held for this caller. */
    private final HeldBytes.Account account;

    /**
     * Cancels the work on the current request when the caller disconnects; null between requests.
     */
    private @Nullable Runnable onCallerDisconnect;

    /** Idle or receive time-out, which is stopped while a response is being produced. */
    private final ConnectionTimer timer;

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
     * @param establishedMillis The earliest time in milliseconds at which it can have been opened.
     */
    CallerConnection(FrontHttpServer server, ITcpSocket socket, long establishedMillis) {
        this.server = server;
        timer = new ConnectionTimer(server);
        requestLimits = server.requestLimits();
        acceptedMillis = server.nowMillis();
        this.establishedMillis = establishedMillis;
        account = server.held().open(this, acceptedMillis);
        decoder = new StrictRequestDecoder(requestLimits.headerBytes());
        connection = HttpConnection.of(socket, this, decoder, encoder);
    }

    /** Starts reading and arms the idle time-out. */
    void start() {
        timer.start(requestLimits.idleTimeoutMillis(), this::handleTimeout);
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
        timer.stop();
        connection.close();
        requestBody.clear();
        account.close();
        server.removeConnection(this);
    }

    /** Updates what is held of the answer, and what the connection is waiting for. */
    private void updateAnswer() {
        account.hold(
                HeldBytes.Place.ANSWER,
                connection.unwrittenBytes()
                        + (connection.isCongested() ? PAUSED_ENDPOINT_BYTES : 0));
        account.enter(phase());
        server.relieveIfNeeded();
    }

    /**
     * Returns what the connection is waiting for.
     *
     * @return The phase.
     */
    private HeldBytes.Phase phase() {
        if (!connection.isDrained()) {
            return HeldBytes.Phase.UNREAD;
        }
        if (isResponding) {
            return HeldBytes.Phase.RUNNING;
        }
        return requestHead != null || isHeadPending
                ? HeldBytes.Phase.RECEIVING
                : HeldBytes.Phase.IDLE;
    }

    /**
     * Writes a part of an answer, whose caller has from now on to take it.
     *
     * @param part The part.
     */
    private void write(HttpObject part) {
        if (connection.isDrained()) {
            account.recordMoved(0, server.nowMillis());
        }
        connection.write(part);
        updateAnswer();
    }

    /** Counts the buffers of a request whose rest is awaited. */
    private void beginReceiving() {
        account.enter(HeldBytes.Phase.RECEIVING);
        account.hold(HeldBytes.Place.RECEIVE_BUFFER, RECEIVE_BUFFER_BYTES);
    }

    @Override
    public boolean holdBuffered(long bytes) {
        account.hold(HeldBytes.Place.BUFFERED, bytes);
        server.relieveIfNeeded();
        return !server.held().isOverBound();
    }

    @Override
    public void onBytesWritten(int size) {
        account.recordMoved(size, server.nowMillis());
        updateAnswer();
    }

    /**
     * Refuses a request that is not complete, and closes the connection otherwise: it is idle, or
     * its caller leaves answers unread.
     */
    @Override
    public void yieldFor(HeldBytes.Reason reason) {
        server.reportYield(reason);
        if (isResponding || !connection.isDrained() || (requestHead == null && !isHeadPending)) {
            handleDisconnect();
        } else {
            refuse();
        }
    }

    /** Refuses a request that has not run, and closes the connection, so that memory is freed. */
    private void refuse() {
        endWith(LocalResponses.instanceFull(server.retryAfterMillis()));
        close();
        decoder.discard();
    }

    @Override
    public void onBytesReceived() {
        if (!isResponding && !isHeadPending && requestHead == null) {
            isHeadPending = true;
            arrivedMillis = server.earliestArrivalMillis(acceptedMillis, establishedMillis);
            timer.start(requestLimits.headerTimeoutMillis(), this::handleTimeout);
            beginReceiving();
        } else if (isResponding) {
            account.hold(HeldBytes.Place.AHEAD, connection.undeliveredBytes());
            server.relieveIfNeeded();
        }
        account.recordMoved(0, server.nowMillis());
    }

    @Override
    public void onDelivered() {
        if (!isResponding && (isHeadPending || requestHead != null)) {
            holdHead(headCostBytes + decoder.undeliveredCostBytes());
        }
    }

    /**
     * Counts a head, or refuses the request if there is no room for it.
     *
     * @param bytes The memory of the head in bytes.
     * @return {@code true} if there is room.
     */
    private boolean holdHead(long bytes) {
        account.hold(HeldBytes.Place.HEAD, 0);
        if (!server.held().makeRoom(account, bytes, server.nowMillis())) {
            server.reportYield(HeldBytes.Reason.MEMORY);
            refuse();
            return false;
        }
        account.hold(HeldBytes.Place.HEAD, bytes);
        return true;
    }

    @Override
    public void onMessage(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            Throwable cause = message.decoderResult().cause();
            reject(StrictRequestDecoder.failureStatus(cause), "request is malformed");
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
        headCostBytes = HeaderCost.of(request);
        if (!holdHead(headCostBytes)) {
            return false;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            connection.write(LocalResponses.continueRequest());
        }
        requestHead = request;
        isHeadPending = false;
        beginReceiving();
        timer.start(requestLimits.idleTimeoutMillis(), this::handleTimeout);
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
            long nowMillis = server.nowMillis();
            account.recordMoved(size, nowMillis);
            if (!server.held().makeRoom(account, BODY_COPIES * size, nowMillis)) {
                server.reportYield(HeldBytes.Reason.MEMORY);
                refuse();
                return;
            }
            byte[] bytes = new byte[size];
            content.content().readBytes(bytes);
            requestBody.append(bytes, 0, size);
            account.hold(HeldBytes.Place.BODY, BODY_COPIES * requestBody.size());
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
        timer.stop();
        connection.suspendDelivery();
        isResponding = true;
        isResponseStarted = false;
        closesAfterResponse = !HttpUtil.isKeepAlive(request);
        encoder.setHeadRequest(request.method().equals(HttpMethod.HEAD));
        account.hold(HeldBytes.Place.RECEIVE_BUFFER, 0);
        account.hold(HeldBytes.Place.AHEAD, connection.undeliveredBytes());
        account.enter(HeldBytes.Phase.RUNNING);
        byte[] body = requestBody.take();
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
        write(response);
    }

    @Override
    public void send(HttpContent content) {
        boolean isEnd = content instanceof LastHttpContent;
        write(content);
        if (isEnd) {
            finishResponse();
        }
    }

    /** Closes the connection after a complete response, or prepares it for the next request. */
    private void finishResponse() {
        headCostBytes = 0;
        account.hold(HeldBytes.Place.HEAD, 0);
        account.hold(HeldBytes.Place.BODY, 0);
        account.hold(HeldBytes.Place.BUFFERED, 0);
        requestHead = null;
        onCallerDisconnect = null;
        isResponding = false;
        isResponseStarted = false;
        updateAnswer();
        if (connection.isClosed()) {
            close();
        } else if (closesAfterResponse || isInputEnded) {
            connection.whenDrained(this::close);
        } else if (connection.isCongested()) {
            connection.whenDrained(this::awaitNextRequest);
        } else {
            awaitNextRequest();
        }
    }

    /** Serves the next request, which may have been sent ahead. */
    private void awaitNextRequest() {
        timer.start(requestLimits.idleTimeoutMillis(), this::handleTimeout);
        arrivedMillis = server.earliestArrivalMillis();
        connection.resumeDelivery();
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
        server.reportRejection(status, reason);
        endWith(LocalResponses.closingConnection(status, reason));
    }

    /**
     * Ends the connection with a response to a request that was not passed to the handler. If a
     * response is already partly sent, the connection is aborted instead.
     *
     * @param response The response, which announces the end of the connection.
     */
    private void endWith(FullHttpResponse response) {
        timer.stop();
        connection.suspendDelivery();
        closesAfterResponse = true;
        isResponding = true;
        if (isResponseStarted && requestHead != null) {
            response.release();
            abort();
            return;
        }
        requestBody.clear();
        requestHead = null;
        headCostBytes = 0;
        account.hold(HeldBytes.Place.HEAD, 0);
        account.hold(HeldBytes.Place.BODY, 0);
        account.hold(HeldBytes.Place.RECEIVE_BUFFER, 0);
        timer.start(requestLimits.idleTimeoutMillis(), this::close);
        connection.write(response);
        connection.whenDrained(this::close);
    }

    /** Closes an idle connection, or rejects a partly received request with status 408. */
    private void handleTimeout() {
        if (requestHead == null && !isHeadPending) {
            close();
        } else {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "request did not arrive in time");
        }
    }
}
