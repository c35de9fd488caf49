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

/**
 * Sends requests to endpoints from one event loop. It is confined to that loop but for creation.
 */
final class EndpointChannel {

    /** How long an idle connection is kept; shorter than endpoints usually keep theirs. */
    private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(10);

    /** The event loop. */
    private final Eventloop loop;

    /** The client that keeps connections open. */
    private final HttpClient keepAliveClient;

    /** The client that opens a connection for each request. */
    private final HttpClient singleUseClient;

    /**
     * Creates a new channel.
     *
     * @param loop The event loop.
     * @param kept The client that keeps connections open.
     * @param single The client that opens a connection for each request.
     */
    private EndpointChannel(Eventloop loop, HttpClient kept, HttpClient single) {
        this.loop = loop;
        this.keepAliveClient = kept;
        this.singleUseClient = single;
    }

    /**
     * Creates a channel for each event loop.
     *
     * @param loops The event loops.
     * @param settings Tells how endpoints are reached.
     * @param clock Tells the present time.
     * @return The channels in the order of the event loops.
     */
    static List<EndpointChannel> of(
            EventLoopPool loops, Settings.Endpoints settings, MonotonicClock clock) {
        return loops.all().stream().map(loop -> of(loop, settings, clock)).toList();
    }

    /**
     * Creates a channel.
     *
     * @param loop The event loop.
     * @param settings Tells how endpoints are reached.
     * @param clock Tells the present time.
     * @return The channel.
     */
    private static EndpointChannel of(
            Eventloop loop, Settings.Endpoints settings, MonotonicClock clock) {
        HttpClient kept =
                clientBuilder(loop, settings, clock)
                        .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
                        .build();
        HttpClient single = clientBuilder(loop, settings, clock).withNoKeepAlive().build();
        return new EndpointChannel(loop, kept, single);
    }

    /**
     * Returns the builder of a client.
     *
     * @param loop The event loop.
     * @param settings Tells how endpoints are reached.
     * @param clock Tells the present time.
     * @return The builder of a client.
     */
    private static HttpClient.Builder clientBuilder(
            Eventloop loop, Settings.Endpoints settings, MonotonicClock clock) {
        WriteTrackingInspector inspector = new WriteTrackingInspector(clock::nowMillis);
        /* The client hands plain sockets to the inspector that is meant for secured ones. */
        TcpSocket.Inspector sockets = inspector.socketInspector();
        return HttpClient.builder(loop, DnsClient.create(loop, InetAddress.getLoopbackAddress()))
                .withConnectTimeout(Duration.ofMillis(settings.connectTimeoutMillis()))
                .withReadWriteTimeout(Duration.ofMillis(settings.answerTimeoutMillis()))
                .withSocketSettings(SocketSettings.builder().withTcpNoDelay(true).build())
                .withInspector(inspector)
                .withSocketInspector(sockets)
                .withSocketSslInspector(sockets)
                .withForcedShutdown(true);
    }

    /**
     * Returns the event loop.
     *
     * @return The event loop.
     */
    Eventloop loop() {
        return loop;
    }

    /**
     * Sends a request over a connection that may be kept open. Whether its bytes may be written is
     * not asked.
     *
     * @param request The request.
     * @param attempt Follows the request.
     * @return The answer.
     */
    Promise<HttpResponse> send(HttpRequest request, WriteTracker attempt) {
        request.attach(WriteTracker.class, attempt);
        return keepAliveClient.request(request);
    }

    /**
     * Sends a request over a connection of its own. Whether its bytes may be written is asked
     * immediately before.
     *
     * @param request The request.
     * @param attempt Follows the request.
     * @return The answer.
     */
    Promise<HttpResponse> sendWithWriteCheck(HttpRequest request, WriteTracker attempt) {
        request.attach(WriteTracker.class, attempt);
        return singleUseClient.request(request);
    }
}
