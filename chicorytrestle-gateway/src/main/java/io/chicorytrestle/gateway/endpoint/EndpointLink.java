package io.chicorytrestle.gateway.endpoint;

import io.activej.net.socket.tcp.ITcpSocket;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.gateway.dialect.AnswerFacts;
import io.chicorytrestle.gateway.dialect.RequestDialect;
import io.chicorytrestle.gateway.link.AnswerDecoder;
import io.chicorytrestle.gateway.link.HttpLink;
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
public final class EndpointLink implements HttpLink.Listener {

    /** The endpoint. */
    private final ServingEndpoint endpoint;

    /** Reads heads. */
    private final RequestDialect dialect;

    /** Takes this link back. */
    private final EndpointPool pool;

    /** The connection. */
    private final HttpLink link;

    /** Decodes answers. */
    private final AnswerDecoder decoder = new AnswerDecoder();

    /** Takes the answer, or null while no request is under way. */
    private @Nullable AnswerListener listener;

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
    EndpointLink(
            ServingEndpoint endpoint,
            RequestDialect dialect,
            EndpointPool pool,
            ITcpSocket socket,
            long keepAliveMillis) {
        this.endpoint = endpoint;
        this.dialect = dialect;
        this.pool = pool;
        this.keepAliveMillis = keepAliveMillis;
        link = HttpLink.of(socket, this, decoder, new HttpRequestEncoder());
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
    public void send(FullHttpRequest request, String id, AnswerListener answers) {
        listener = answers;
        requestId = id;
        phase = Phase.HEAD;
        decoder.expect(request.method().equals(HttpMethod.HEAD));
        link.write(request);
        link.read();
    }

    /** Reads no more of the answer for now. */
    public void pause() {
        link.pause();
    }

    /** Reads the answer again. */
    public void resume() {
        link.resume();
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
    public void received(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            fail("answer is malformed: " + message.decoderResult().cause().getMessage());
            return;
        }
        AnswerListener taker = listener;
        if (taker == null) {
            fail("answer belongs to no request");
            return;
        }
        if (message instanceof HttpResponse head) {
            receivedHead(head, taker);
        }
        if (message instanceof HttpContent content) {
            if (phase == Phase.BODY) {
                taker.content(content.content());
            }
            if (content instanceof LastHttpContent) {
                receivedEnd(taker);
            }
        }
    }

    /**
     * Takes the head of an answer.
     *
     * @param head The head.
     * @param taker Takes the answer.
     */
    private void receivedHead(HttpResponse head, AnswerListener taker) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            phase = Phase.SKIPPED;
            return;
        }
        AnswerFacts facts = dialect.read(head);
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
            taker.started(head, facts);
        }
    }

    /**
     * Takes the end of an answer.
     *
     * @param taker Takes the answer.
     */
    private void receivedEnd(AnswerListener taker) {
        if (phase == Phase.SKIPPED) {
            phase = Phase.HEAD;
            return;
        }
        if (listener != taker) {
            return;
        }
        listener = null;
        isReusable &= link.isDrained() && !link.hasWaiting();
        if (isReusable) {
            idleSinceMillis = pool.nowMillis();
            pool.giveBack(this);
        } else {
            link.close();
        }
        taker.completed();
    }

    @Override
    public void ended() {
        lose("endpoint ended the connection");
    }

    @Override
    public void failed(Exception cause) {
        lose("connection broke: " + cause.getMessage());
    }

    /**
     * Closes the connection and tells whoever waits that the answer is unusable.
     *
     * @param cause What is wrong with the answer.
     */
    private void fail(String cause) {
        AnswerListener taker = discard();
        if (taker != null) {
            taker.broken(cause);
        }
    }

    /**
     * Closes the connection and tells whoever waits that it broke.
     *
     * @param cause What happened.
     */
    private void lose(String cause) {
        AnswerListener taker = discard();
        if (taker != null) {
            taker.connectionLost(cause);
        }
    }

    /**
     * Closes the connection for good.
     *
     * @return Who waited for an answer, or null if nobody did.
     */
    private @Nullable AnswerListener discard() {
        isReusable = false;
        link.close();
        pool.drop(this);
        AnswerListener taker = listener;
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
