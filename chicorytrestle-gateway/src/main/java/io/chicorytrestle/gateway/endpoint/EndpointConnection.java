package io.chicorytrestle.gateway.endpoint;

import io.activej.net.socket.tcp.ITcpSocket;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.gateway.dialect.HeaderDialect;
import io.chicorytrestle.gateway.dialect.ResponseMetadata;
import io.chicorytrestle.gateway.link.BodyFraming;
import io.chicorytrestle.gateway.link.HttpConnection;
import io.chicorytrestle.gateway.link.ResponseHeadDetector;
import io.chicorytrestle.gateway.link.StrictResponseDecoder;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;

/**
 * Sends one request at a time to an endpoint. A response to another request is skipped, and a
 * connection with unread data after a response is not reused. It is confined to the event loop's
 * thread.
 */
public final class EndpointConnection implements HttpConnection.Listener {

    /** The number of responses that are skipped while one is awaited. */
    private static final int MAXIMUM_SKIPPED_RESPONSES = 16;

    /**
     * The time in milliseconds for which a body that may end with the begin of another response
     * waits for the rest of that one, and for which the end of a connection waits for a reset.
     */
    private static final long CONFIRMATION_MILLIS = 20;

    /** The number of bytes of bodies that are skipped while a response is awaited. */
    private static final long MAXIMUM_SKIPPED_BYTES = 1_048_576;

    /** The length in bytes beyond which an endpoint may end a connection with a part unread. */
    private static final int LONG_REQUEST_BYTES = 16_384;

    /** What is wrong with a response whose end may be that of a broken connection. */
    private static final String ENDED_EARLY = "connection ended before the request was read";

    /** What is wrong with a response that was completed by another one. */
    private static final String FILLED_UP = "body is filled up with another response";

    /** The endpoint. */
    private final ServingEndpoint endpoint;

    /** Reads the heads of responses. */
    private final HeaderDialect dialect;

    /** Receives this connection back when it becomes idle. */
    private final EndpointConnectionPool pool;

    /** The HTTP connection. */
    private final HttpConnection connection;

    /** Decodes responses. */
    private final StrictResponseDecoder decoder;

    /** Receives the response, or null while no request is under way. */
    private @Nullable ResponseListener listener;

    /** Inspects the bodies that are received, forwarded or skipped, or null before a request. */
    private @Nullable ResponseHeadDetector headDetector;

    /** The identifier of the request under way. */
    private String requestId = "";

    /** The length of the body of the request under way in bytes. */
    private int requestBytes;

    /** How the response under way is handled. */
    private Phase phase = Phase.HEAD;

    /** How the response under way declares the end of its body. */
    private BodyFraming framing = BodyFraming.NONE;

    /** The responses that were skipped since the request under way was sent. */
    private int skippedResponses;

    /** The bytes of bodies that were skipped since the request under way was sent. */
    private long skippedBytes;

    /** Whether the connection may be used for another request. */
    private boolean isReusable = true;

    /** Whether the connection carried another request before. */
    private boolean isReused;

    /** Whether the connection carried a HEAD request, or carries one. */
    private boolean hasCarriedHead;

    /** The time in milliseconds after which the endpoint closes an idle connection. */
    private long keepAliveMillis;

    /** The time in milliseconds at which the connection became idle. */
    private long idleSinceMillis;

    /**
     * Creates a connection on an open socket.
     *
     * @param endpoint The endpoint.
     * @param dialect Reads the heads of responses.
     * @param pool Receives this connection back when it becomes idle.
     * @param socket The socket.
     * @param keepAliveMillis The time in milliseconds after which the endpoint is assumed to close
     *     an idle connection, until it states another.
     */
    EndpointConnection(
            ServingEndpoint endpoint,
            HeaderDialect dialect,
            EndpointConnectionPool pool,
            ITcpSocket socket,
            long keepAliveMillis) {
        this.endpoint = endpoint;
        this.dialect = dialect;
        this.pool = pool;
        this.keepAliveMillis = keepAliveMillis;
        decoder = new StrictResponseDecoder(pool.responseSyntax());
        connection = HttpConnection.of(socket, this, decoder, new HttpRequestEncoder());
    }

    /**
     * Returns the endpoint.
     *
     * @return The endpoint.
     */
    public ServingEndpoint endpoint() {
        return endpoint;
    }

    /**
     * Sends a request and starts to read the response.
     *
     * @param request The request with its body.
     * @param id The identifier of the request.
     * @param responseListener Receives the response.
     */
    public void send(FullHttpRequest request, String id, ResponseListener responseListener) {
        listener = responseListener;
        isReused = !requestId.isEmpty();
        requestId = id;
        requestBytes = request.content().readableBytes();
        phase = Phase.HEAD;
        skippedResponses = 0;
        skippedBytes = 0;
        boolean isHead = request.method().equals(HttpMethod.HEAD);
        hasCarriedHead |= isHead;
        decoder.setHeadRequest(isHead);
        connection.write(request);
        connection.startReading();
    }

    /** Pauses reading the response. */
    public void pause() {
        connection.pauseReading();
    }

    /** Resumes reading the response. */
    public void resume() {
        connection.resumeReading();
    }

    /**
     * Closes the connection, so that the endpoint stops working on the request. The listener
     * receives nothing more.
     */
    public void cancel() {
        listener = null;
        isReusable = false;
        connection.close();
    }

    /**
     * Returns {@code true} if the connection can carry a request.
     *
     * @param nowMillis The current time in milliseconds.
     * @param maximumIdleMillis The longest idle time allowed in milliseconds.
     * @return {@code true} if it is open, reusable, and idle for less than both limits.
     */
    boolean isUsable(long nowMillis, long maximumIdleMillis) {
        long idleMillis = nowMillis - idleSinceMillis;
        return isReusable
                && !connection.isClosed()
                && idleMillis < Math.min(maximumIdleMillis, keepAliveMillis);
    }

    /** Notices from now on that the endpoint closes the connection or sends anything. */
    void watch() {
        connection.startReading();
    }

    /** Records that the connection carries no request from now on. */
    void markIdle() {
        idleSinceMillis = pool.nowMillis();
    }

    @Override
    public void onBytesReceived() {
        if (listener == null) {
            pool.reportUnsolicited(UnsolicitedData.WHILE_IDLE, this, requestId);
            discard();
        } else if (phase == Phase.ENDED) {
            failInvalidResponse(FILLED_UP);
        }
    }

    @Override
    public void onMessage(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            failInvalidResponse(
                    "malformed response: " + message.decoderResult().cause().getMessage());
            return;
        }
        ResponseListener responseListener = listener;
        if (responseListener == null) {
            discard();
            return;
        }
        if (message instanceof HttpResponse head) {
            handleHead(head, responseListener);
        }
        if (message instanceof HttpContent content) {
            if (headDetector != null && headDetector.inspect(content.content())) {
                failInvalidResponse("body contains another response");
                return;
            }
            if (phase == Phase.BODY) {
                responseListener.onContent(content.content());
            } else {
                skippedBytes += content.content().readableBytes();
            }
            if (skippedBytes > MAXIMUM_SKIPPED_BYTES
                    || skippedResponses > MAXIMUM_SKIPPED_RESPONSES) {
                failInvalidResponse("too much precedes the response");
                return;
            }
            if (content instanceof LastHttpContent) {
                handleEnd(responseListener);
            }
        }
    }

    /**
     * Handles the head of a response. An interim response and one that names another request are
     * skipped. So is one that names none, if it is successful or may repeat the refusal of an
     * earlier request; the response to this one can still follow. The end of a skipped response is
     * unknown where it has no length, or where its request may have been a HEAD request and this
     * one is none, or the reverse.
     *
     * @param head The head.
     * @param responseListener Receives the response.
     */
    private void handleHead(HttpResponse head, ResponseListener responseListener) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            phase = Phase.SKIPPED;
            skippedResponses++;
            return;
        }
        ResponseMetadata metadata = dialect.read(head);
        headDetector = new ResponseHeadDetector(dialect.singleResponseHeaders(), requestId);
        boolean isForeign =
                metadata.requestId().isPresent()
                        ? !metadata.requestId().get().equals(requestId)
                        : isReused || head.status().codeClass() == HttpStatusClass.SUCCESS;
        if (isReused && isNamelessFailure(head, metadata)) {
            failInvalidResponse("response names no request: " + head.status());
            return;
        }
        isReusable &= HttpUtil.isKeepAlive(head) && !isForeign && metadata.requestId().isPresent();
        metadata.keepAliveMillis().ifPresent(millis -> keepAliveMillis = millis);
        if (isForeign) {
            phase = Phase.SKIPPED;
            skippedResponses++;
            pool.reportUnsolicited(UnsolicitedData.FOREIGN_RESPONSE, this, requestId);
            if (hasCarriedHead || decoder.framing(head) == BodyFraming.CONNECTION_END) {
                failInvalidResponse("response to another request, whose end is unknown");
            }
        } else {
            phase = Phase.BODY;
            framing = decoder.framing(head);
            responseListener.onHead(head, framing, metadata);
        }
    }

    /**
     * Returns {@code true} for a failure that may be that of the request under way, as no response
     * to another request comes without its identifier, except a refusal.
     *
     * @param head The head.
     * @param metadata What its headers state.
     * @return {@code true} if a failure names no request and is no refusal.
     */
    private static boolean isNamelessFailure(HttpResponse head, ResponseMetadata metadata) {
        return metadata.requestId().isEmpty()
                && head.status().codeClass() != HttpStatusClass.SUCCESS
                && !metadata.isNotExecuted()
                && !head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
    }

    /**
     * Returns {@code true} if the response under way may have been filled up with another one whose
     * rest follows.
     *
     * @return {@code true} if its body contains or ends with what begins a response.
     */
    private boolean mayBeFilledUp() {
        return headDetector != null && headDetector.mayContainResponse();
    }

    /**
     * Handles the end of a response. Where its body may be filled up with the begin of another one,
     * it is complete once nothing has followed for some time.
     *
     * @param responseListener Receives the response.
     */
    private void handleEnd(ResponseListener responseListener) {
        if (phase == Phase.SKIPPED) {
            phase = Phase.HEAD;
            return;
        }
        if (listener != responseListener) {
            return;
        }
        if (framing == BodyFraming.CONNECTION_END) {
            handleConnectionEnd(responseListener);
            return;
        }
        if (connection.hasUndelivered() || !decoder.isBetweenResponses()) {
            isReusable = false;
            if (mayBeFilledUp()) {
                failInvalidResponse(FILLED_UP);
                return;
            }
            pool.reportUnsolicited(UnsolicitedData.AFTER_RESPONSE, this, requestId);
        } else if (framing == BodyFraming.LENGTH && mayBeFilledUp()) {
            phase = Phase.ENDED;
            connection.resumeReading();
            pool.delay(CONFIRMATION_MILLIS, () -> confirmEnd(responseListener));
            return;
        }
        complete(responseListener);
    }

    /**
     * Handles the end of a response that ends with its connection. It is complete unless the
     * endpoint broke off while the request was being written. The end of a connection hides a reset
     * that follows it, which takes some time if the operating system still sends the request.
     *
     * @param responseListener Receives the response.
     */
    private void handleConnectionEnd(ResponseListener responseListener) {
        isReusable = false;
        if (!connection.isDrained() || connection.isReset()) {
            failInvalidResponse(ENDED_EARLY);
        } else if (requestBytes > LONG_REQUEST_BYTES) {
            phase = Phase.ENDED;
            pool.delay(CONFIRMATION_MILLIS, () -> confirmEnd(responseListener));
        } else {
            complete(responseListener);
        }
    }

    /**
     * Completes a response after which nothing has followed, unless it was cancelled.
     *
     * @param responseListener Receives the response.
     */
    private void confirmEnd(ResponseListener responseListener) {
        if (phase != Phase.ENDED || listener != responseListener) {
            return;
        }
        if (framing == BodyFraming.CONNECTION_END && connection.isReset()) {
            failInvalidResponse(ENDED_EARLY);
        } else {
            complete(responseListener);
        }
    }

    /**
     * Reports a complete response, and releases or closes the connection.
     *
     * @param responseListener Receives the response.
     */
    private void complete(ResponseListener responseListener) {
        listener = null;
        isReusable &= connection.isDrained() && !connection.isReadingPaused();
        if (isReusable) {
            markIdle();
            pool.release(this);
        } else {
            connection.close();
        }
        responseListener.onComplete();
    }

    @Override
    public void onEndOfStream() {
        boolean isConfirmed =
                listener == null || phase != Phase.ENDED || framing != BodyFraming.CONNECTION_END;
        if (isConfirmed) {
            failConnectionLost("endpoint ended the connection");
        }
    }

    @Override
    public void onFailure(Exception cause) {
        failConnectionLost("connection broke: " + cause.getMessage());
    }

    /**
     * Closes the connection and reports an unusable response to the listener, if any.
     *
     * @param cause What is wrong with the response.
     */
    private void failInvalidResponse(String cause) {
        ResponseListener responseListener = discard();
        if (responseListener != null) {
            responseListener.onInvalidResponse(cause);
        }
    }

    /**
     * Closes the connection and reports its loss to the listener, if any. A response that had ended
     * is complete.
     *
     * @param cause The failure of the connection.
     */
    private void failConnectionLost(String cause) {
        ResponseListener responseListener = discard();
        if (responseListener != null && phase == Phase.ENDED) {
            responseListener.onComplete();
        } else if (responseListener != null) {
            responseListener.onConnectionLost(cause);
        }
    }

    /**
     * Closes the connection and removes it from the pool.
     *
     * @return The listener that waits for a response, or null if there is none.
     */
    private @Nullable ResponseListener discard() {
        isReusable = false;
        connection.close();
        pool.remove(this);
        ResponseListener responseListener = listener;
        listener = null;
        return responseListener;
    }

    /** Closes an idle connection. The pool removes it. */
    void close() {
        isReusable = false;
        connection.close();
    }

    /** Enumerates how the response under way is handled. */
    private enum Phase {

        /** Its head is awaited. */
        HEAD,

        /** Its body is forwarded to the listener. */
        BODY,

        /** Its last byte was received, and bytes that follow would show that it was filled up. */
        ENDED,

        /** It is skipped, since it belongs to another request or is an interim response. */
        SKIPPED
    }
}
