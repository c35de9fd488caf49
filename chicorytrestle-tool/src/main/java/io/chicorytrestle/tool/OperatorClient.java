package io.chicorytrestle.tool;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.bytebuf.ByteBuf;
import io.activej.dns.DnsClient;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/** Sends requests to the operator port of an entry instance, one at a time. */
final class OperatorClient {

    /** The time-out for connecting, and for each read or write. */
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /** The HTTP status of a successful response. */
    private static final int STATUS_OK = 200;

    /** The HTTP status of an instance that isn't ready, whose response is still used. */
    private static final int STATUS_UNAVAILABLE = 503;

    /**
     * The DNS port. The client needs one, but addresses are IP addresses, so it is never queried.
     */
    private static final int DNS_PORT = 53;

    /** Parses responses. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The operator port's address in the form {@code host:port}. */
    private final String address;

    /**
     * Creates a new client, which doesn't connect before the first request.
     *
     * @param address The operator port's address in the form {@code host:port}.
     */
    OperatorClient(String address) {
        this.address = address;
    }

    /**
     * Sends a GET request and waits for the response.
     *
     * @param path The path with its query string.
     * @return The JSON document of the response.
     * @throws CommandException If the port can't be reached, or the response is an error or not
     *     JSON.
     */
    JsonNode get(String path) throws CommandException {
        Eventloop eventloop = Eventloop.create();
        HttpClient client = createClient(eventloop);
        CompletableFuture<Response> response = eventloop.submit(() -> fetch(client, path));
        eventloop.run();
        try {
            return parse(path, response.get());
        } catch (ExecutionException exception) {
            throw failure(path, String.valueOf(exception.getCause()));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw failure(path, "interrupted");
        }
    }

    /**
     * Creates a client without keep-alive, so that the event loop ends after one request.
     *
     * @param eventloop The event loop that runs the client.
     * @return A new client.
     */
    private static HttpClient createClient(Eventloop eventloop) {
        InetSocketAddress unused =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), DNS_PORT);
        return HttpClient.builder(eventloop, DnsClient.create(eventloop, unused))
                .withConnectTimeout(TIMEOUT)
                .withReadWriteTimeout(TIMEOUT)
                .withNoKeepAlive()
                .build();
    }

    /**
     * Sends a GET request and reads the response with its complete body.
     *
     * @param client The client.
     * @param path The path with its query string.
     * @return The promise of the response.
     */
    private Promise<Response> fetch(HttpClient client, String path) {
        return client.request(HttpRequest.get("http://" + address + path).build())
                .then(
                        response ->
                                response.loadBody()
                                        .map(body -> Response.of(response.getCode(), body)));
    }

    /**
     * Parses the JSON document of a response.
     *
     * @param path The path that was requested.
     * @param response The response.
     * @return The document.
     * @throws CommandException If the response is an error or not JSON.
     */
    private JsonNode parse(String path, Response response) throws CommandException {
        if (response.status() != STATUS_OK && response.status() != STATUS_UNAVAILABLE) {
            throw failure(path, "status " + response.status() + " " + response.body());
        }
        try {
            return MAPPER.readTree(response.body());
        } catch (IOException exception) {
            throw failure(path, "response is not JSON: " + exception.getMessage());
        }
    }

    /**
     * Creates the exception for a failed request.
     *
     * @param path The path that was requested.
     * @param reason The reason for the failure.
     * @return The exception, whose message names the URL.
     */
    private CommandException failure(String path, String reason) {
        return new CommandException(
                ExitCode.UNREACHABLE, "Cannot get http://" + address + path + ": " + reason);
    }

    /**
     * An HTTP response.
     *
     * @param status The HTTP status.
     * @param body The body as text.
     */
    private record Response(int status, String body) {

        /**
         * Creates a response from a received body.
         *
         * @param status The HTTP status.
         * @param body The body in UTF-8.
         * @return The response.
         */
        static Response of(int status, ByteBuf body) {
            return new Response(status, body.getString(StandardCharsets.UTF_8));
        }
    }
}
