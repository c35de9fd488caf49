package io.chicorytrestle.gateway.front;

import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.chicorytrestle.core.route.RequestLimits;
import io.chicorytrestle.gateway.link.AnswerEncoder;
import io.chicorytrestle.gateway.link.HttpLink;
import io.chicorytrestle.gateway.link.OwnAnswers;
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
final class CallerConnection implements HttpLink.Listener, Caller {

    /** The front. */
    private final HttpFront front;

    /** The bounds that held when the connection was made. */
    private final RequestLimits limits;

    /** Encodes answers. */
    private final AnswerEncoder encoder = new AnswerEncoder();

    /** The connection. */
    private final HttpLink link;

    /** The head of the request that is being received, or null between requests. */
    private @Nullable HttpRequest head;

    /** The body of the request that is being received. */
    private ByteArrayOutputStream body = new ByteArrayOutputStream(0);

    /** Called if the caller leaves, or null while no request is being answered. */
    private @Nullable Runnable cancellation;

    /** Ends the wait for the next request or the rest of one, or null while one is answered. */
    private @Nullable ScheduledRunnable timer;

    /** Whether part of a request's head may have arrived. */
    private boolean isReceivingHead;

    /** Whether a request is being answered. */
    private boolean isAnswering;

    /** Whether the connection ends with the answer under way. */
    private boolean isLast;

    /** Whether part of the answer under way was sent. */
    private boolean isStarted;

    /** Whether the caller ended its stream. */
    private boolean isEnded;

    /**
     * Creates a new connection.
     *
     * @param front The front.
     * @param socket The socket.
     * @param limits The bounds of requests.
     */
    CallerConnection(HttpFront front, ITcpSocket socket, RequestLimits limits) {
        this.front = front;
        this.limits = limits;
        link = HttpLink.of(socket, this, new StrictRequestDecoder(limits.headerBytes()), encoder);
    }

    /** Starts to read. */
    void start() {
        await(limits.idleTimeoutMillis());
        link.read();
    }

    /**
     * Returns {@code true} if no request is being received or answered.
     *
     * @return {@code true} if the connection can be closed without a loss.
     */
    boolean isIdle() {
        return !isAnswering && !isReceivingHead && head == null && !link.hasWaiting();
    }

    /** Closes the connection. */
    void close() {
        stopTimer();
        link.close();
        front.forget(this);
        front.release(body.size());
        body = new ByteArrayOutputStream(0);
    }

    @Override
    public void receiving() {
        if (!isAnswering && !isReceivingHead && head == null) {
            isReceivingHead = true;
            await(limits.headerTimeoutMillis());
        }
    }

    @Override
    public void received(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            refuse(statusOf(message.decoderResult().cause()), "request is malformed");
            return;
        }
        if (message instanceof HttpRequest request && !receivedHead(request)) {
            return;
        }
        if (message instanceof HttpContent content && head != null) {
            receivedContent(content);
        }
    }

    /**
     * Returns the status for a request that could not be decoded.
     *
     * @param cause Why it could not be decoded.
     * @return The status.
     */
    private static HttpResponseStatus statusOf(Throwable cause) {
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
    private boolean receivedHead(HttpRequest request) {
        if (!StrictRequestDecoder.isUnambiguous(request)) {
            refuse(HttpResponseStatus.BAD_REQUEST, "framing of the request is ambiguous");
            return false;
        }
        if (HttpUtil.getContentLength(request, 0L) > limits.bodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too long");
            return false;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            link.write(OwnAnswers.proceed());
        }
        head = request;
        isReceivingHead = false;
        await(limits.idleTimeoutMillis());
        return true;
    }

    /**
     * Takes a piece of the body.
     *
     * @param content The piece.
     */
    private void receivedContent(HttpContent content) {
        int size = content.content().readableBytes();
        if (size > 0) {
            if (body.size() + (long) size > limits.bodyBytes()) {
                refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too long");
                return;
            }
            if (!front.reserve(size)) {
                refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "instance holds too many bodies");
                return;
            }
            byte[] bytes = new byte[size];
            content.content().readBytes(bytes);
            body.writeBytes(bytes);
        }
        if (content instanceof LastHttpContent) {
            begin();
        }
    }

    /** Hands the whole request to the handler. */
    private void begin() {
        HttpRequest request = head;
        if (request == null) {
            return;
        }
        stopTimer();
        link.hold();
        isAnswering = true;
        isStarted = false;
        isLast = !HttpUtil.isKeepAlive(request);
        encoder.expect(request.method().equals(HttpMethod.HEAD));
        byte[] whole = body.toByteArray();
        Runnable action = front.handler().handle(request, whole, this);
        if (isAnswering) {
            cancellation = action;
        }
    }

    @Override
    public void start(HttpResponse answer) {
        isStarted = true;
        isLast |= front.isDraining();
        answer.headers().remove(HttpHeaderNames.CONNECTION);
        if (isLast) {
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        link.write(answer);
    }

    @Override
    public void send(HttpContent content) {
        boolean isEnd = content instanceof LastHttpContent;
        link.write(content);
        if (isEnd) {
            finish();
        }
    }

    /** Prepares for the next request after a complete answer. */
    private void finish() {
        front.release(body.size());
        body = new ByteArrayOutputStream(0);
        head = null;
        cancellation = null;
        isAnswering = false;
        if (link.isClosed()) {
            close();
        } else if (isLast || isEnded) {
            link.whenDrained(this::close);
        } else {
            await(limits.idleTimeoutMillis());
            link.release();
        }
    }

    @Override
    public void abort() {
        isAnswering = false;
        cancellation = null;
        close();
    }

    @Override
    public boolean isCongested() {
        return link.isCongested();
    }

    @Override
    public void whenDrained(Runnable action) {
        link.whenDrained(action);
    }

    @Override
    public void ended() {
        isEnded = true;
        leave();
    }

    @Override
    public void failed(Exception cause) {
        leave();
    }

    /** Stops work for a caller that left. */
    private void leave() {
        Runnable action = cancellation;
        cancellation = null;
        isAnswering = false;
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
    private void refuse(HttpResponseStatus status, String reason) {
        stopTimer();
        front.refused(status, reason);
        link.hold();
        isLast = true;
        isAnswering = true;
        if (isStarted && head != null) {
            abort();
            return;
        }
        link.write(OwnAnswers.closing(status, reason));
        link.whenDrained(this::close);
    }

    /**
     * Waits for the next request or the rest of one.
     *
     * @param millis The longest time in milliseconds.
     */
    private void await(long millis) {
        stopTimer();
        timer = front.delay(millis, this::expire);
    }

    /** Ends the wait for a request. */
    private void expire() {
        timer = null;
        if (head == null && !isReceivingHead) {
            close();
        } else {
            refuse(HttpResponseStatus.REQUEST_TIMEOUT, "request did not arrive in time");
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
