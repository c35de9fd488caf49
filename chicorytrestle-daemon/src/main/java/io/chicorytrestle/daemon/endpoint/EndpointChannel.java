package io.chicorytrestle.daemon.endpoint;

import io.activej.dns.DnsClient;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.net.SocketSettings;
import io.chicorytrestle.daemon.loop.EventLoopPool;
import io.chicorytrestle.daemon.loop.MonotonicClock;
import io.chicorytrestle.daemon.settings.Settings;
import java.net.InetAddress;
import java.time.Duration;
import java.util.List;

/** Sends HTTP requests to endpoints from one event loop, to which it is confined once created. */
final class EndpointChannel {

    /** The time-out of idle connections, shorter than that of most endpoints. */
    private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(10);

    /** The event loop that sends. */
    private final Eventloop loop;

    /** The client that reuses connections. */
    private final HttpClient keepAliveClient;

    /** The client that opens a connection for each request. */
    private final HttpClient singleUseClient;

    /**
     * Creates a channel.
     *
     * @param loop The event loop that sends.
     * @param keepAliveClient The client that reuses connections.
     * @param singleUseClient The client that opens a connection for each request.
     */
    private EndpointChannel(
            Eventloop loop, HttpClient keepAliveClient, HttpClient singleUseClient) {
        this.loop = loop;
        this.keepAliveClient = keepAliveClient;
        this.singleUseClient = singleUseClient;
    }

    /**
     * Creates one channel for each event loop.
     *
     * @param loops The event loops.
     * @param settings The settings for connections to endpoints.
     * @param clock Supplies the current time.
     * @return The channels in the order of the event loops.
     */
    static List<EndpointChannel> of(
            EventLoopPool loops, Settings.Endpoints settings, MonotonicClock clock) {
        return loops.all().stream().map(loop -> of(loop, settings, clock)).toList();
    }

    /**
     * Creates the channel of one event loop.
     *
     * @param loop The event loop.
     * @param settings The settings for connections to endpoints.
     * @param clock Supplies the current time.
     * @return The channel.
     */
    private static EndpointChannel of(
            Eventloop loop, Settings.Endpoints settings, MonotonicClock clock) {
        HttpClient keepAliveClient =
                clientBuilder(loop, settings, clock)
                        .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
                        .build();
        HttpClient singleUseClient = clientBuilder(loop, settings, clock).withNoKeepAlive().build();
        return new EndpointChannel(loop, keepAliveClient, singleUseClient);
    }

    /**
     * Creates a client builder that installs a {@link WriteTrackingInspector}.
     *
     * @param loop The event loop.
     * @param settings The settings for connections to endpoints.
     * @param clock Supplies the current time.
     * @return The builder.
     */
    private static HttpClient.Builder clientBuilder(
            Eventloop loop, Settings.Endpoints settings, MonotonicClock clock) {
        WriteTrackingInspector inspector = new WriteTrackingInspector(clock::nowMillis);
        /* The client reports plain sockets to the inspector for TLS sockets, too. */
        TcpSocket.Inspector socketInspector = inspector.socketInspector();
        return HttpClient.builder(loop, DnsClient.create(loop, InetAddress.getLoopbackAddress()))
                .withConnectTimeout(Duration.ofMillis(settings.connectTimeoutMillis()))
                .withReadWriteTimeout(Duration.ofMillis(settings.answerTimeoutMillis()))
                .withSocketSettings(SocketSettings.builder().withTcpNoDelay(true).build())
                .withInspector(inspector)
                .withSocketInspector(socketInspector)
                .withSocketSslInspector(socketInspector)
                .withForcedShutdown(true);
    }

    /**
     * Returns the event loop that sends.
     *
     * @return The event loop.
     */
    Eventloop loop() {
        return loop;
    }

    /**
     * Sends a request over a connection that may be reused. The write permission of the tracker is
     * not guaranteed to be checked.
     *
     * @param request The request.
     * @param tracker Tracks whether the request may have been written.
     * @return The response.
     */
    Promise<HttpResponse> send(HttpRequest request, WriteTracker tracker) {
        request.attach(WriteTracker.class, tracker);
        return keepAliveClient.request(request);
    }

    /**
     * Sends a request over a new connection. The write permission of the tracker is checked
     * immediately before the first byte is written.
     *
     * @param request The request.
     * @param tracker Tracks whether the request may have been written.
     * @return The response.
     */
    Promise<HttpResponse> sendWithWriteCheck(HttpRequest request, WriteTracker tracker) {
        request.attach(WriteTracker.class, tracker);
        return singleUseClient.request(request);
    }
}
