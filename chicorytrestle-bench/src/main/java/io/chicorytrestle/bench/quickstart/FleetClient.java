package io.chicorytrestle.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

/** An HTTP client for entry instances and the stand-ins' control server. */
final class FleetClient {

    /** The time-out for connecting and for each call. */
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    /** The HTTP status of success. */
    private static final int STATUS_OK = 200;

    /** The prefix of a server-sent event's data line. */
    private static final String SSE_DATA_PREFIX = "data: ";

    /** The event data that marks a streamed response as complete. */
    private static final String SSE_DONE = "[DONE]";

    /** Reads and writes JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The HTTP client. */
    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(TIMEOUT)
                    .build();

    /**
     * Sends a chat turn and reads the streamed response to its end.
     *
     * @param daemon The entry instance to call.
     * @param workspace The workspace of the caller.
     * @param chat The chat.
     * @param turn The messages and options of the turn.
     * @return The response, complete or not.
     * @throws InterruptedException If the thread is interrupted.
     */
    ChatResponse sendTurn(Plan.Daemon daemon, Plan.Workspace workspace, String chat, ChatTurn turn)
            throws InterruptedException {
        HttpRequest.Builder request =
                request(daemon.callers() + "/v1/chat/completions", workspace)
                        .header("X-Chat", chat)
                        .POST(HttpRequest.BodyPublishers.ofString(turn.body()));
        if (!turn.placement().isEmpty()) {
            request.header("X-Placement", turn.placement());
        }
        HttpResponse<Stream<String>> response;
        try {
            response = client.send(request.build(), HttpResponse.BodyHandlers.ofLines());
        } catch (IOException exception) {
            return ChatResponse.incomplete(false, exception.toString());
        }
        try (Stream<String> lines = response.body()) {
            return read(response.statusCode(), lines.toList());
        } catch (IOException | UncheckedIOException exception) {
            return ChatResponse.incomplete(true, exception.toString());
        }
    }

    /**
     * Sends an authenticated request and reads the complete response.
     *
     * @param method The HTTP method.
     * @param uri The URI.
     * @param workspace The workspace.
     * @param headerAndBody The name and value of a header, both empty for none, and the body.
     * @return The response.
     * @throws InterruptedException If the thread is interrupted.
     */
    CallResponse call(
            String method, String uri, Plan.Workspace workspace, HeaderAndBody headerAndBody)
            throws InterruptedException {
        HttpRequest.Builder request =
                request(uri, workspace)
                        .method(method, HttpRequest.BodyPublishers.ofString(headerAndBody.body()));
        if (!headerAndBody.name().isEmpty()) {
            request.header(headerAndBody.name(), headerAndBody.value());
        }
        try {
            HttpResponse<String> response =
                    client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new CallResponse(
                    response.statusCode(),
                    response.body(),
                    response.headers().firstValue("X-Verdict").orElse(""));
        } catch (IOException exception) {
            return new CallResponse(0, exception.toString(), "may_have_run");
        }
    }

    /**
     * Reads JSON from an operator port or the stand-ins' control server.
     *
     * @param uri The URI.
     * @return The JSON, or a missing node if the call failed.
     * @throws InterruptedException If the thread is interrupted.
     */
    JsonNode read(String uri) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create(uri)).timeout(TIMEOUT).build();
        try {
            HttpResponse<String> response =
                    client.send(request, HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == STATUS_OK
                    ? MAPPER.readTree(response.body())
                    : MAPPER.missingNode();
        } catch (IOException exception) {
            return MAPPER.missingNode();
        }
    }

    /**
     * Sends a command to the stand-ins' control server.
     *
     * @param method The HTTP method.
     * @param uri The URI.
     * @param body The body.
     * @throws IOException If the command is refused or the server cannot be reached.
     * @throws InterruptedException If the thread is interrupted.
     */
    void command(String method, String uri, String body) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(uri))
                        .timeout(TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        int status = client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        if (status != STATUS_OK) {
            throw new IOException("Stand-in control returned status " + status + " for " + uri);
        }
    }

    /**
     * Starts to build an authenticated request.
     *
     * @param uri The URI.
     * @param workspace The workspace.
     * @return The request builder.
     */
    private static HttpRequest.Builder request(String uri, Plan.Workspace workspace) {
        return HttpRequest.newBuilder(URI.create(uri))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + workspace.name() + ":" + workspace.secret());
    }

    /**
     * Parses a streamed response.
     *
     * @param status The HTTP status.
     * @param lines The lines of the body.
     * @return The response, complete or not.
     * @throws IOException If an event is malformed.
     */
    private static ChatResponse read(int status, List<String> lines) throws IOException {
        if (status != STATUS_OK) {
            return ChatResponse.incomplete(false, status + " " + String.join("", lines));
        }
        StringBuilder text = new StringBuilder();
        ChatResponse response = ChatResponse.incomplete(true, "stream ended early");
        for (String line : lines) {
            if (line.startsWith(SSE_DATA_PREFIX)) {
                String data = line.substring(SSE_DATA_PREFIX.length());
                JsonNode event =
                        data.equals(SSE_DONE) ? MAPPER.missingNode() : MAPPER.readTree(data);
                response =
                        data.equals(SSE_DONE) ? response.asComplete() : response.withEvent(event);
                text.append(event.path("choices").path(0).path("delta").path("content").asText(""));
            }
        }
        return response.withText(text.toString());
    }

    /**
     * The messages and options that a caller sends in one turn.
     *
     * @param messages The messages of the chat, alternating between the user and the assistant.
     * @param maximumTokens The maximum number of tokens to generate.
     * @param placement The placement token of the last turn, or empty.
     */
    record ChatTurn(List<String> messages, int maximumTokens, String placement) {

        /**
         * Creates a new turn.
         *
         * @param messages The messages.
         * @param maximumTokens The maximum number of tokens to generate.
         * @param placement The placement token, or empty.
         */
        ChatTurn {
            messages = List.copyOf(messages);
        }

        /**
         * Returns the prompt that engines are expected to receive.
         *
         * @return The messages, one per line, each prefixed with its role.
         */
        String prompt() {
            StringBuilder prompt = new StringBuilder();
            for (int index = 0; index < messages.size(); index++) {
                prompt.append(index == 0 ? "" : "\n");
                prompt.append(role(index)).append(": ").append(messages.get(index));
            }
            return prompt.toString();
        }

        /**
         * Returns the body of the chat completion request.
         *
         * @return The body as JSON.
         */
        private String body() {
            ObjectNode body = MAPPER.createObjectNode();
            body.put("model", QuickstartTable.CHAT_POOL)
                    .put("stream", true)
                    .put("max_tokens", maximumTokens);
            ArrayNode list = body.putArray("messages");
            for (int index = 0; index < messages.size(); index++) {
                list.addObject().put("role", role(index)).put("content", messages.get(index));
            }
            return body.toString();
        }

        /**
         * Returns the role of a message's author.
         *
         * @param index The index of the message, starting with the user's first.
         * @return The role, either {@code user} or {@code assistant}.
         */
        private static String role(int index) {
            return index % 2 == 0 ? "user" : "assistant";
        }
    }

    /**
     * The response to a chat turn.
     *
     * @param complete Whether the stream ended with its end marker.
     * @param truncated Whether the response started but didn't complete.
     * @param text The text received.
     * @param promptTokens The number of prompt tokens.
     * @param cachedTokens The number of prompt tokens that were served from a cache.
     * @param placement The placement token for the next turn, or empty.
     * @param problem The reason why the response is incomplete, or empty.
     */
    record ChatResponse(
            boolean complete,
            boolean truncated,
            String text,
            int promptTokens,
            int cachedTokens,
            String placement,
            String problem) {

        /**
         * Creates an incomplete response without text.
         *
         * @param truncated Whether the response had started.
         * @param problem The reason why the response is incomplete.
         * @return The response.
         */
        private static ChatResponse incomplete(boolean truncated, String problem) {
            return new ChatResponse(false, truncated, "", 0, 0, "", problem);
        }

        /**
         * Returns a copy that is marked as complete.
         *
         * @return The response.
         */
        private ChatResponse asComplete() {
            return new ChatResponse(true, false, text, promptTokens, cachedTokens, placement, "");
        }

        /**
         * Returns a copy with a text.
         *
         * @param completeText The complete text.
         * @return The response.
         */
        private ChatResponse withText(String completeText) {
            return new ChatResponse(
                    complete,
                    truncated,
                    completeText,
                    promptTokens,
                    cachedTokens,
                    placement,
                    problem);
        }

        /**
         * Returns a copy with the contents of an event.
         *
         * @param event The data of the event.
         * @return The response.
         */
        private ChatResponse withEvent(JsonNode event) {
            JsonNode usage = event.path("usage");
            if (usage.isObject()) {
                return new ChatResponse(
                        complete,
                        truncated,
                        text,
                        usage.path("prompt_tokens").asInt(),
                        usage.path("prompt_tokens_details").path("cached_tokens").asInt(),
                        event.path("placement").asText(""),
                        problem);
            }
            return event.has("error") ? incomplete(true, event.path("error").toString()) : this;
        }
    }

    /**
     * A header and a body to send.
     *
     * @param name The header's name, or empty for no header.
     * @param value The header's value.
     * @param body The body.
     */
    record HeaderAndBody(String name, String value, String body) {

        /** Neither header nor body. */
        static final HeaderAndBody NONE = new HeaderAndBody("", "", "");
    }

    /**
     * The response to a call.
     *
     * @param status The HTTP status, or zero if the call failed without a response.
     * @param body The body.
     * @param verdict The value of the verdict header, or empty if it is missing.
     */
    record CallResponse(int status, String body, String verdict) {

        /**
         * Returns {@code true} if the call succeeded.
         *
         * @return {@code true} if the HTTP status is 200.
         */
        boolean isOk() {
            return status == STATUS_OK;
        }
    }
}
