package io.chicorytrestle.bench.overhead;

import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsResponse;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.promise.Promise;
import java.time.Duration;

/** Creates HTTP clients that keep their connections and know IP numbers only. */
final class HttpClients {

    /** The IP number that everything listens on. */
    static final String HOST = "127.0.0.1";

    /** How long an idle connection is kept. */
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(30);

    /** Prevents instances. */
    private HttpClients() {}

    /**
     * Creates a client.
     *
     * @param loop The event loop.
     * @return The client.
     */
    static HttpClient create(Eventloop loop) {
        return HttpClient.builder(loop, IpLiteralResolver.INSTANCE)
                .withKeepAliveTimeout(KEEP_ALIVE)
                .build();
    }

    /** Resolves IP numbers only. */
    private enum IpLiteralResolver implements IDnsClient {

        /** The singleton instance. */
        INSTANCE;

        @Override
        public Promise<DnsResponse> resolve(DnsQuery query) {
            DnsResponse known = IDnsClient.resolveFromQuery(query);
            return known != null
                    ? Promise.of(known)
                    : Promise.ofException(
                            new IllegalArgumentException("Cannot resolve name: " + query));
        }

        @Override
        public void close() {
            /* do nothing */
        }
    }
}
