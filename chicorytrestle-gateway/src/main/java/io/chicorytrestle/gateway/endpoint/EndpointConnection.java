package io.chicorytrestle.gateway.endpoint;

import io.activej.net.socket.tcp.ITcpSocket;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.gateway.dialect.HeaderDialect;
import io.chicorytrestle.gateway.dialect.ResponseMetadata;
import io.chicorytrestle.gateway.link.HeadAwareResponseDecoder;
import io.chicorytrestle.gateway.link.HttpConnection;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;

/**
 * Carries one request at a time to an endpoint. An answer that belongs to another request is
 * dropped, and a connection with anything left over is not used again. It is confined to the event
 * loop's thread.
 */
public final class EndpointConnection implements HttpConnection.Listener {

    /** The endpoint. */
    private final ServingEndpoint endpoint;

    /** Reads heads. */
    private final HeaderDialect dialect;

    /** Takes this link back. */
    private final EndpointConnectionPool pool;

    /** The connection. */
    private final HttpConnection link;

    /** Decodes answers. */
    private final HeadAwareResponseDecoder decoder = new HeadAwareResponseDecoder();

    /** Takes the answer, or null while no request is under way. */
    private @Nullable ResponseListener listener;

    /** The identifier of the request under way. */
    private String requestId = "";

    /** How the answer under way is treated. */
    private Phase phase = Phase.HEAD;

    /** Whether the connection may be used for another request. */
    private boolean isReusable = true;

    /** The time in milliseconds for which the endpoint keeps the connection when idle. */
    private long keepAliveMillis;

    /** The time in milliseconds since which the connection is idle. */
    private long idleSinceMillis;

    /**
     * Creates a new link.
     *
     * @param endpoint The endpoint.
     * @param dialect Reads heads.
     * @param pool Takes this link back.
     * @param socket The socket.
     * @param keepAliveMillis The time in milliseconds for which the endpoint is assumed to keep the
     *     connection when idle, until it states another.
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
        link = HttpConnection.of(socket, this, decoder, new HttpRequestEncoder());
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
     * Sends a request.
     *
     * @param request The request with its body.
     * @param id The identifier of the request.
     * @param answers Takes the answer.
     */
    public void send(FullHttpRequest request, String id, ResponseListener answers) {
        listener = answers;
        requestId = id;
        phase = Phase.HEAD;
        decoder.setHeadRequest(request.method().equals(HttpMethod.HEAD));
        link.write(request);
        link.startReading();
    }

    /** Reads no more of the answer for now. */
    public void pause() {
        link.pauseReading();
    }

    /** Reads the answer again. */
    public void resume() {
        link.resumeReading();
    }

    /** Closes the connection, so that the endpoint stops work. The listener hears nothing more. */
    public void cancel() {
        listener = null;
        isReusable = false;
        link.close();
    }

    /**
     * Returns {@code true} if the connection can carry a request.
     *
     * @param nowMillis The present time in milliseconds.
     * @param maximumIdleMillis The longest time for which it may have been idle, in milliseconds.
     * @return {@code true} if the connection can carry a request.
     */
    boolean isUsable(long nowMillis, long maximumIdleMillis) {
        long idleMillis = nowMillis - idleSinceMillis;
        return isReusable
                && !link.isClosed()
                && idleMillis < Math.min(maximumIdleMillis, keepAliveMillis);
    }

    @Override
    public void onMessage(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            failInvalidResponse(
                    "answer is malformed: " + message.decoderResult().cause().getMessage());
            return;
        }
        ResponseListener taker = listener;
        if (taker == null) {
            failInvalidResponse("answer belongs to no request");
            return;
        }
        if (message instanceof HttpResponse head) {
            handleHead(head, taker);
        }
        if (message instanceof HttpContent content) {
            if (phase == Phase.BODY) {
                taker.onContent(content.content());
            }
            if (content instanceof LastHttpContent) {
                handleEnd(taker);
            }
        }
    }

    /**
     * Takes the head of an answer.
     *
     * @param head The head.
     * @param taker Takes the answer.
     */
    private void handleHead(HttpResponse head, ResponseListener taker) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            phase = Phase.SKIPPED;
            return;
        }
        ResponseMetadata facts = dialect.read(head);
        boolean isOther =
                facts.requestId().isPresent()
                        ? !facts.requestId().get().equals(requestId)
                        : head.status().codeClass() == HttpStatusClass.SUCCESS;
        isReusable &= HttpUtil.isKeepAlive(head) && !isOther;
        facts.keepAliveMillis().ifPresent(millis -> keepAliveMillis = millis);
        if (isOther) {
            phase = Phase.SKIPPED;
        } else {
            phase = Phase.BODY;
            taker.onHead(head, facts);
        }
    }

    /**
     * Takes the end of an answer.
     *
     * @param taker Takes the answer.
     */
    private void handleEnd(ResponseListener taker) {
        if (phase == Phase.SKIPPED) {
            phase = Phase.HEAD;
            return;
        }
        if (listener != taker) {
            return;
        }
        listener = null;
        isReusable &= link.isDrained() && !link.hasUndelivered();
        if (isReusable) {
            idleSinceMillis = pool.nowMillis();
            pool.release(this);
        } else {
            link.close();
        }
        taker.onComplete();
    }

    @Override
    public void onEndOfStream() {
        failConnectionLost("endpoint ended the connection");
    }

    @Override
    public void onFailure(Exception cause) {
        failConnectionLost("connection broke: " + cause.getMessage());
    }

    /**
     * Closes the connection and tells whoever waits that the answer is unusable.
     *
     * @param cause What is wrong with the answer.
     */
    private void failInvalidResponse(String cause) {
        ResponseListener taker = discard();
        if (taker != null) {
            taker.onInvalidResponse(cause);
        }
    }

    /**
     * Closes the connection and tells whoever waits that it broke.
     *
     * @param cause What happened.
     */
    private void failConnectionLost(String cause) {
        ResponseListener taker = discard();
        if (taker != null) {
            taker.onConnectionLost(cause);
        }
    }

    /**
     * Closes the connection for good.
     *
     * @return Who waited for an answer, or null if nobody did.
     */
    private @Nullable ResponseListener discard() {
        isReusable = false;
        link.close();
        pool.remove(this);
        ResponseListener taker = listener;
        listener = null;
        return taker;
    }

    /** Closes an idle connection. */
    void close() {
        isReusable = false;
        link.close();
    }

    /** Enumerates how the answer under way is treated. */
    private enum Phase {

        /** Its head is awaited. */
        HEAD,

        /** Its body is passed on. */
        BODY,

        /** It belongs to another request, or is an interim one. */
        SKIPPED
    }
}
