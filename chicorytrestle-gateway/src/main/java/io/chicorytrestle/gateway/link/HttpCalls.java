package io.chicorytrestle.gateway.link;

import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Reads documents from one server, over connections that are kept between calls. It is confined to
 * the event loop's thread.
 */
public final class HttpCalls {

    /** The time in milliseconds within which a connection must stand: two opening packets. */
    private static final long CONNECT_TIMEOUT_MILLIS = 1_200;

    /** The options of a connection. */
    private static final SocketSettings SOCKET_SETTINGS =
            SocketSettings.builder().withTcpNoDelay(true).build();

    /** The event loop. */
    private final NioReactor reactor;

    /** The address of the server. */
    private final InetSocketAddress address;

    /** The idle connections. */
    private final Deque<Connection> idle = new ArrayDeque<>();

    /**
     * Creates a new client.
     *
     * @param reactor The event loop.
     * @param address The address of the server.
     */
    public HttpCalls(NioReactor reactor, InetSocketAddress address) {
        this.reactor = reactor;
        this.address = address;
    }

    /**
     * Reads a document.
     *
     * @param uri The path with the query.
     * @param timeoutMillis The time in milliseconds within which the whole answer must arrive.
     * @return The answer, or why there is none.
     */
    public Promise<Answer> get(String uri, long timeoutMillis) {
        return get(uri, Map.of(), timeoutMillis);
    }

    /**
     * Reads a document.
     *
     * @param uri The path with the query.
     * @param headers The headers beside the host.
     * @param timeoutMillis The time in milliseconds within which the whole answer must arrive.
     * @return The answer, or why there is none.
     */
    public Promise<Answer> get(String uri, Map<String, String> headers, long timeoutMillis) {
        SettablePromise<Answer> result = new SettablePromise<>();
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers()
                .set(
                        HttpHeaderNames.HOST,
                        address.getAddress().getHostAddress() + ':' + address.getPort());
        headers.forEach(request.headers()::set);
        Connection kept = idle.pollFirst();
        if (kept != null) {
            kept.begin(request, result, timeoutMillis);
            return result;
        }
        TcpSocket.connect(
                        reactor,
                        address,
                        Duration.ofMillis(CONNECT_TIMEOUT_MILLIS),
                        SOCKET_SETTINGS)
                .whenComplete(
                        (socket, failure) -> {
                            if (failure != null) {
                                result.setException(failure);
                            } else {
                                new Connection(socket).begin(request, result, timeoutMillis);
                            }
                        });
        return result;
    }

    /** Closes the idle connections, since they may be silently dead. */
    public void closeIdle() {
        idle.forEach(Connection::close);
        idle.clear();
    }

    /** Holds an answer. */
    public static final class Answer {

        /** The status code. */
        private final int status;

        /** The body. */
        private final byte[] body;

        /**
         * Creates a new answer.
         *
         * @param status The status code.
         * @param body The body.
         */
        private Answer(int status, byte[] body) {
            this.status = status;
            this.body = body;
        }

        /**
         * Returns the status code.
         *
         * @return The status code.
         */
        public int status() {
            return status;
        }

        /**
         * Returns the body.
         *
         * @return The body.
         */
        public byte[] body() {
            return body.clone();
        }
    }

    /** Carries one call at a time. */
    private final class Connection implements HttpLink.Listener {

        /** The connection. */
        private final HttpLink link;

        /** The body that is being received. */
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        /** Takes the answer, or null between calls. */
        private @Nullable SettablePromise<Answer> result;

        /** Ends the wait for the answer, or null between calls. */
        private @Nullable ScheduledRunnable timer;

        /** The status of the answer. */
        private int status;

        /** Whether the server keeps the connection open. */
        private boolean isKept;

        /**
         * Creates a new connection.
         *
         * @param socket The socket.
         */
        private Connection(ITcpSocket socket) {
            link = HttpLink.of(socket, this, new AnswerDecoder(), new HttpRequestEncoder());
        }

        /**
         * Sends a request.
         *
         * @param request The request.
         * @param promise Takes the answer.
         * @param timeoutMillis The time in milliseconds within which the answer must arrive.
         */
        private void begin(
                FullHttpRequest request, SettablePromise<Answer> promise, long timeoutMillis) {
            result = promise;
            body.reset();
            timer =
                    reactor.delayBackground(
                            timeoutMillis,
                            () ->
                                    failed(
                                            new IOException(
                                                    "No answer within " + timeoutMillis + " ms")));
            link.write(request);
            link.read();
        }

        @Override
        public void received(HttpObject message) {
            if (message.decoderResult().isFailure()) {
                failed(new IOException("Answer is malformed", message.decoderResult().cause()));
                return;
            }
            if (message instanceof HttpResponse head) {
                status = head.status().code();
                isKept = HttpUtil.isKeepAlive(head);
            }
            if (message instanceof HttpContent content) {
                byte[] bytes = new byte[content.content().readableBytes()];
                content.content().readBytes(bytes);
                body.writeBytes(bytes);
                if (content instanceof LastHttpContent) {
                    complete();
                }
            }
        }

        /** Hands the answer over. */
        private void complete() {
            SettablePromise<Answer> promise = take();
            if (isKept && promise != null) {
                idle.addFirst(this);
            } else {
                link.close();
            }
            if (promise != null) {
                promise.set(new Answer(status, body.toByteArray()));
            }
        }

        /**
         * Ends the wait for the answer.
         *
         * @return Takes the answer, or null if nobody waits.
         */
        private @Nullable SettablePromise<Answer> take() {
            SettablePromise<Answer> promise = result;
            result = null;
            if (timer != null && timer.isActive()) {
                timer.cancel();
            }
            timer = null;
            return promise;
        }

        @Override
        public void ended() {
            failed(new IOException("Server ended the connection"));
        }

        @Override
        public void failed(Exception cause) {
            link.close();
            idle.remove(this);
            SettablePromise<Answer> promise = take();
            if (promise != null) {
                promise.setException(cause);
            }
        }

        /** Closes the connection. */
        private void close() {
            link.close();
        }
    }
}
