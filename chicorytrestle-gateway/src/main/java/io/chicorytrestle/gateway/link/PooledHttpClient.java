package io.chicorytrestle.gateway.link;

import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** HTTP client for one server that reuses idle connections. Confined to the event loop thread. */
public final class PooledHttpClient {

    /** The connect time-out in milliseconds, long enough for two SYN packets. */
    private static final long CONNECT_TIMEOUT_MILLIS = 1_200;

    /** The largest body of a response in bytes. */
    static final int MAXIMUM_BODY_BYTES = 4_194_304;

    /** The options of each socket: Nagle's algorithm is off. */
    private static final SocketSettings SOCKET_SETTINGS =
            SocketSettings.builder().withTcpNoDelay(true).build();

    /** The event loop. */
    private final NioReactor reactor;

    /** The address of the server. */
    private final InetSocketAddress address;

    /** The idle connections, the most recently used one first. */
    private final Deque<PooledConnection> idleConnections = new ArrayDeque<>();

    /** The connections that wait for a response. */
    private final Set<PooledConnection> busyConnections = new HashSet<>();

    /**
     * Creates a client without connections.
     *
     * @param reactor The event loop.
     * @param address The address of the server.
     */
    public PooledHttpClient(NioReactor reactor, InetSocketAddress address) {
        this.reactor = reactor;
        this.address = address;
    }

    /**
     * Sends a GET request.
     *
     * @param uri The path and the query.
     * @param timeoutMillis The time in milliseconds, from sending the request, within which the
     *     complete response must arrive; connecting has a time-out of its own.
     * @return The response with any status, or the connection's failure; a {@link
     *     ResponseTooLargeException} if the body exceeds the bound.
     */
    public Promise<Response> get(String uri, long timeoutMillis) {
        return get(uri, Map.of(), timeoutMillis);
    }

    /**
     * Sends a GET request.
     *
     * @param uri The path and the query.
     * @param headers The headers to add to {@code Host}.
     * @param timeoutMillis The time in milliseconds, from sending the request, within which the
     *     complete response must arrive; connecting has a time-out of its own.
     * @return The response with any status, or the connection's failure; a {@link
     *     ResponseTooLargeException} if the body exceeds the bound.
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

    /**
     * Closes the idle connections. Called after a failure, since idle connections may be dead
     * without a sign.
     */
    public void closeIdle() {
        idleConnections.forEach(PooledConnection::close);
        idleConnections.clear();
    }

    /** Closes the connections that wait for a response, so that the requests fail at once. */
    public void closeBusy() {
        for (PooledConnection connection : List.copyOf(busyConnections)) {
            connection.onFailure(new IOException("Connection was closed locally"));
        }
    }

    /** A complete response. */
    public static final class Response {

        /** The status code. */
        private final int status;

        /** The headers. */
        private final HttpHeaders headers;

        /** The body. */
        private final byte[] body;

        /**
         * Creates a new response.
         *
         * @param status The status code.
         * @param headers The headers.
         * @param body The body.
         */
        private Response(int status, HttpHeaders headers, byte[] body) {
            this.status = status;
            this.headers = headers;
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
         * Returns the values of a header.
         *
         * @param name The name of the header, in any case.
         * @return The values in their order in the response, none if it lacks the header.
         */
        public List<String> headers(String name) {
            return List.copyOf(headers.getAll(name));
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

    /**
     * A connection that carries one request at a time and returns to the pool after a complete
     * response.
     */
    private final class PooledConnection implements HttpConnection.Listener {

        /** Carries the HTTP messages. */
        private final HttpConnection connection;

        /** Decodes responses. */
        private final StrictResponseDecoder decoder =
                new StrictResponseDecoder(ResponseSyntax.of(List.of()));

        /** The body bytes received so far. */
        private final ByteArrayOutputStream responseBody = new ByteArrayOutputStream();

        /** Completed with the response or the failure; null between requests. */
        private @Nullable SettablePromise<Response> responsePromise;

        /** The response time-out, or null between requests. */
        private @Nullable ScheduledRunnable timer;

        /** The status code of the response being received. */
        private int status;

        /** The headers of the response being received. */
        private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;

        /** Whether the response allows the connection to be reused. */
        private boolean isKeepAlive;

        /** Whether the response is an interim one, which another follows. */
        private boolean isInterim;

        /**
         * Wraps a connected socket.
         *
         * @param socket The socket.
         */
        private PooledConnection(ITcpSocket socket) {
            connection = HttpConnection.of(socket, this, decoder, new HttpRequestEncoder());
        }

        /**
         * Sends a request.
         *
         * @param request The request.
         * @param promise Completed with the response or the failure.
         * @param timeoutMillis The time in milliseconds within which the response must arrive.
         */
        private void send(
                FullHttpRequest request, SettablePromise<Response> promise, long timeoutMillis) {
            responsePromise = promise;
            busyConnections.add(this);
            responseBody.reset();
            timer =
                    EventLoopLag.delayUntilInputIsHandled(
                            reactor, timeoutMillis, () -> timeOut(promise, timeoutMillis));
            connection.write(request);
            connection.startReading();
        }

        /**
         * Fails a request that is still unanswered. The response may have arrived after the delay.
         *
         * @param promise The promise of the request.
         * @param timeoutMillis The time in milliseconds within which the response had to arrive.
         */
        private void timeOut(SettablePromise<Response> promise, long timeoutMillis) {
            if (responsePromise == promise) {
                onFailure(new IOException("No response within " + timeoutMillis + " ms"));
            }
        }

        @Override
        public void onBytesReceived() {
            if (responsePromise == null) {
                onFailure(new IOException("Server sent bytes without a request"));
            }
        }

        @Override
        public void onMessage(HttpObject message) {
            if (message.decoderResult().isFailure()) {
                onFailure(
                        new IOException("Response is malformed", message.decoderResult().cause()));
                return;
            }
            if (message instanceof HttpResponse head) {
                status = head.status().code();
                headers = head.headers();
                isInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
                isKeepAlive = HttpUtil.isKeepAlive(head);
            }
            if (message instanceof HttpContent content) {
                if (responseBody.size() + content.content().readableBytes() > MAXIMUM_BODY_BYTES) {
                    onFailure(new ResponseTooLargeException(MAXIMUM_BODY_BYTES));
                    return;
                }
                byte[] bytes = new byte[content.content().readableBytes()];
                content.content().readBytes(bytes);
                responseBody.writeBytes(bytes);
                if (content instanceof LastHttpContent && !isInterim) {
                    completeResponse();
                }
            }
        }

        /** Completes the promise with the response, and pools or closes the connection. */
        private void completeResponse() {
            SettablePromise<Response> promise = takePromise();
            boolean hasSurplus = connection.hasUndelivered() || !decoder.isBetweenResponses();
            if (isKeepAlive && promise != null && !hasSurplus) {
                idleConnections.addFirst(this);
            } else {
                connection.close();
            }
            if (promise != null) {
                promise.set(new Response(status, headers, responseBody.toByteArray()));
            }
        }

        /**
         * Cancels the time-out and detaches the promise, so that it is completed only once.
         *
         * @return The promise, or null if no request is pending.
         */
        private @Nullable SettablePromise<Response> takePromise() {
            SettablePromise<Response> promise = responsePromise;
            responsePromise = null;
            busyConnections.remove(this);
            if (timer != null && timer.isActive()) {
                timer.cancel();
            }
            timer = null;
            return promise;
        }

        @Override
        public void onEndOfStream() {
            onFailure(
                    new IOException(
                            "Server closed the connection before the response was complete"));
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
