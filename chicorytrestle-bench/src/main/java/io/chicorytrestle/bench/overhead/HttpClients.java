package io.chicorytrestle.bench.overhead;

import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsResponse;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.promise.Promise;
import java.time.Duration;

/** Creates HTTP clients that keep connections alive and resolve IP addresses only. */
final class HttpClients {

    /** The IP address that all servers listen on. */
    static final String HOST = "127.0.0.1";

    /** The time-out of idle connections. */
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(30);

    /** Prevents instantiation. */
    private HttpClients() {}

    /**
     * Creates a client.
     *
     * @param loop The event loop that the client runs on.
     * @return The client.
     */
    static HttpClient create(Eventloop loop) {
        return HttpClient.builder(loop, IpLiteralResolver.INSTANCE)
                .withKeepAliveTimeout(KEEP_ALIVE)
                .build();
    }

    /** A resolver that accepts IP addresses only, so that no DNS server is queried. */
    private enum IpLiteralResolver implements IDnsClient {

        /** The singleton instance. */
        INSTANCE;

        @Override
        public Promise<DnsResponse> resolve(DnsQuery query) {
            DnsResponse known = IDnsClient.resolveFromQuery(query);
            return known != null
                    ? Promise.of(known)
                    : Promise.ofException(
                            new IllegalArgumentException(
                                    "Cannot resolve name, not an IP address: " + query));
        }

        @Override
        public void close() {
            /* do nothing */
        }
    }
}
