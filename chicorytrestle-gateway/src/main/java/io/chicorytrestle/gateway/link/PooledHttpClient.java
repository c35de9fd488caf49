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
public final class PooledHttpClient {

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
    private final Deque<PooledConnection> idleConnections = new ArrayDeque<>();

    /**
     * Creates a new client.
     *
     * @param reactor The event loop.
     * @param address The address of the server.
     */
    public PooledHttpClient(NioReactor reactor, InetSocketAddress address) {
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
    public Promise<Response> get(String uri, long timeoutMillis) {
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
    public Promise<Response> get(String uri, Map<String, String> headers, long timeoutMillis) {
        SettablePromise<Response> result = new SettablePromise<>();
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers()
                .set(
                        HttpHeaderNames.HOST,
                        address.getAddress().getHostAddress() + ':' + address.getPort());
        headers.forEach(request.headers()::set);
        PooledConnection kept = idleConnections.pollFirst();
        if (kept != null) {
            kept.send(request, result, timeoutMillis);
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
                                new PooledConnection(socket).send(request, result, timeoutMillis);
                            }
                        });
        return result;
    }

    /** Closes the idle connections, since they may be silently dead. */
    public void closeIdle() {
        idleConnections.forEach(PooledConnection::close);
        idleConnections.clear();
    }

    /** Holds an answer. */
    public static final class Response {

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
        private Response(int status, byte[] body) {
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
    private final class PooledConnection implements HttpConnection.Listener {

        /** The connection. */
        private final HttpConnection connection;

        /** The body that is being received. */
        private final ByteArrayOutputStream responseBody = new ByteArrayOutputStream();

        /** Takes the answer, or null between calls. */
        private @Nullable SettablePromise<Response> responsePromise;

        /** Ends the wait for the answer, or null between calls. */
        private @Nullable ScheduledRunnable timer;

        /** The status of the answer. */
        private int status;

        /** Whether the server keeps the connection open. */
        private boolean isKeepAlive;

        /**
         * Creates a new connection.
         *
         * @param socket The socket.
         */
        private PooledConnection(ITcpSocket socket) {
            connection =
                    HttpConnection.of(
                            socket, this, new HeadAwareResponseDecoder(), new HttpRequestEncoder());
        }

        /**
         * Sends a request.
         *
         * @param request The request.
         * @param promise Takes the answer.
         * @param timeoutMillis The time in milliseconds within which the answer must arrive.
         */
        private void send(
                FullHttpRequest request, SettablePromise<Response> promise, long timeoutMillis) {
            responsePromise = promise;
            responseBody.reset();
            timer =
                    reactor.delayBackground(
                            timeoutMillis,
                            () ->
                                    onFailure(
                                            new IOException(
                                                    "No answer within " + timeoutMillis + " ms")));
            connection.write(request);
            connection.startReading();
        }

        @Override
        public void onMessage(HttpObject message) {
            if (message.decoderResult().isFailure()) {
                onFailure(new IOException("Answer is malformed", message.decoderResult().cause()));
                return;
            }
            if (message instanceof HttpResponse head) {
                status = head.status().code();
                isKeepAlive = HttpUtil.isKeepAlive(head);
            }
            if (message instanceof HttpContent content) {
                byte[] bytes = new byte[content.content().readableBytes()];
                content.content().readBytes(bytes);
                responseBody.writeBytes(bytes);
                if (content instanceof LastHttpContent) {
                    completeResponse();
                }
            }
        }

        /** Hands the answer over. */
        private void completeResponse() {
            SettablePromise<Response> promise = takePromise();
            if (isKeepAlive && promise != null) {
                idleConnections.addFirst(this);
            } else {
                connection.close();
            }
            if (promise != null) {
                promise.set(new Response(status, responseBody.toByteArray()));
            }
        }

        /**
         * Ends the wait for the answer.
         *
         * @return Takes the answer, or null if nobody waits.
         */
        private @Nullable SettablePromise<Response> takePromise() {
            SettablePromise<Response> promise = responsePromise;
            responsePromise = null;
            if (timer != null && timer.isActive()) {
                timer.cancel();
            }
            timer = null;
            return promise;
        }

        @Override
        public void onEndOfStream() {
            onFailure(new IOException("Server ended the connection"));
        }

        @Override
        public void onFailure(Exception cause) {
            connection.close();
            idleConnections.remove(this);
            SettablePromise<Response> promise = takePromise();
            if (promise != null) {
                promise.setException(cause);
            }
        }

        /** Closes the connection. */
        private void close() {
            connection.close();
        }
    }
}
