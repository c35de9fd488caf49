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

/** Asks operator ports of entry instances, one question at a time. */
final class OperatorClient {

    /** The most time to wait for an answer. */
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /** The status of an ordinary answer. */
    private static final int STATUS_OK = 200;

    /** The status of an instance that answers but is not ready. */
    private static final int STATUS_UNAVAILABLE = 503;

    /** The port that names are looked up at; addresses are IP numbers, so it is never asked. */
    private static final int DNS_PORT = 53;

    /** Reads JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The operator port's address as host and port. */
    private final String address;

    /**
     * Creates a new client.
     *
     * @param address The operator port's address as host and port.
     */
    OperatorClient(String address) {
        this.address = address;
    }

    /**
     * Asks the operator port.
     *
     * @param path The path and query to ask.
     * @return The answer's JSON document.
     * @throws CommandException If the port cannot be reached or refuses the question.
     */
    JsonNode get(String path) throws CommandException {
        Eventloop eventloop = Eventloop.create();
        HttpClient client = createClient(eventloop);
        CompletableFuture<Response> answer = eventloop.submit(() -> fetch(client, path));
        eventloop.run();
        try {
            return parse(path, answer.get());
        } catch (ExecutionException exception) {
            throw failure(path, String.valueOf(exception.getCause()));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw failure(path, "interrupted");
        }
    }

    /**
     * Creates a client that closes its connections soon.
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
     * Fetches an answer with its whole body.
     *
     * @param client The client.
     * @param path The path and query to ask.
     * @return The answer.
     */
    private Promise<Response> fetch(HttpClient client, String path) {
        return client.request(HttpRequest.get("http://" + address + path).build())
                .then(
                        response ->
                                response.loadBody()
                                        .map(body -> Response.of(response.getCode(), body)));
    }

    /**
     * Reads the document of an answer.
     *
     * @param path The path that was asked.
     * @param answer The answer.
     * @return The document.
     * @throws CommandException If the answer is a refusal or no JSON.
     */
    private JsonNode parse(String path, Response answer) throws CommandException {
        if (answer.status() != STATUS_OK && answer.status() != STATUS_UNAVAILABLE) {
            throw failure(path, "status " + answer.status() + " " + answer.body());
        }
        try {
            return MAPPER.readTree(answer.body());
        } catch (IOException exception) {
            throw failure(path, "no JSON: " + exception.getMessage());
        }
    }

    /**
     * Creates the failure of a question.
     *
     * @param path The path that was asked.
     * @param reason Why it failed.
     * @return The failure.
     */
    private CommandException failure(String path, String reason) {
        return new CommandException(
                ExitCode.UNREACHABLE, "Cannot ask http://" + address + path + ": " + reason);
    }

    /**
     * Holds an answer.
     *
     * @param status The status as in HTTP.
     * @param body The body.
     */
    private record Response(int status, String body) {

        /**
         * Creates an answer from a received body.
         *
         * @param status The status as in HTTP.
         * @param body The body as received.
         * @return The answer.
         */
        static Response of(int status, ByteBuf body) {
            return new Response(status, body.getString(StandardCharsets.UTF_8));
        }
    }
}
