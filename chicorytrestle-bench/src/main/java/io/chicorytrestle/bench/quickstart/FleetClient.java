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

/** Calls entry instances and the stand-ins' control as ordinary HTTP clients do. */
final class FleetClient {

    /** The most time that one call may take. */
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    /** The status of a success. */
    private static final int STATUS_OK = 200;

    /** The beginning of a server-sent event. */
    private static final String SSE_DATA_PREFIX = "data: ";

    /** The event that makes a streamed answer whole. */
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
     * Asks for the answer of a chat turn and reads the stream to its end.
     *
     * @param daemon The entry instance to ask.
     * @param workspace The workspace that asks.
     * @param chat The chat.
     * @param turn What is said and how.
     * @return The answer, whole or not.
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
     * Sends a request with an authenticated workspace and reads the whole answer.
     *
     * @param method The method.
     * @param uri The address.
     * @param workspace The workspace.
     * @param headerAndBody A header's name and value, or empty texts, and the body.
     * @return The answer.
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
     * Reads JSON from an operator port or the stand-ins' control.
     *
     * @param uri The address.
     * @return The JSON, or a missing node if it could not be had.
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
     * Tells the stand-ins' control to do something.
     *
     * @param method The method.
     * @param uri The address.
     * @param body The body.
     * @throws IOException If the control refuses or cannot be reached.
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
            throw new IOException("Cannot switch stand-in, status: " + status + " " + uri);
        }
    }

    /**
     * Starts a request of a workspace.
     *
     * @param uri The address.
     * @param workspace The workspace.
     * @return The request.
     */
    private static HttpRequest.Builder request(String uri, Plan.Workspace workspace) {
        return HttpRequest.newBuilder(URI.create(uri))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + workspace.name() + ":" + workspace.secret());
    }

    /**
     * Reads a streamed answer.
     *
     * @param status The status.
     * @param lines The lines of the body.
     * @return The answer, whole or not.
     * @throws IOException If an event is malformed.
     */
    private static ChatResponse read(int status, List<String> lines) throws IOException {
        if (status != STATUS_OK) {
            return ChatResponse.incomplete(false, status + " " + String.join("", lines));
        }
        StringBuilder text = new StringBuilder();
        ChatResponse answer = ChatResponse.incomplete(true, "stream ended early");
        for (String line : lines) {
            if (line.startsWith(SSE_DATA_PREFIX)) {
                String data = line.substring(SSE_DATA_PREFIX.length());
                JsonNode event = data.equals(SSE_DONE) ? MAPPER.missingNode() : MAPPER.readTree(data);
                answer = data.equals(SSE_DONE) ? answer.asComplete() : answer.withEvent(event);
                text.append(event.path("choices").path(0).path("delta").path("content").asText(""));
            }
        }
        return answer.withText(text.toString());
    }

    /**
     * Holds what a caller says in one turn.
     *
     * @param messages The messages, alternating between the caller and the answers.
     * @param maximumTokens The most tokens to generate.
     * @param placement The placement token of the turn before, or empty.
     */
    record ChatTurn(List<String> messages, int maximumTokens, String placement) {

        /**
         * Creates a new turn.
         *
         * @param messages The messages.
         * @param maximumTokens The most tokens to generate.
         * @param placement The placement token, or empty.
         */
        ChatTurn {
            messages = List.copyOf(messages);
        }

        /**
         * Returns the prompt that engines are to see.
         *
         * @return The messages, one a line, each after its role.
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
         * Returns the body of the request.
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
         * Returns who said a message.
         *
         * @param index The position of the message.
         * @return The role.
         */
        private static String role(int index) {
            return index % 2 == 0 ? "user" : "assistant";
        }
    }

    /**
     * Holds the answer of a chat turn.
     *
     * @param complete Whether the answer ended as whole.
     * @param truncated Whether the answer began but did not end as whole.
     * @param text The text.
     * @param promptTokens The tokens of the prompt.
     * @param cachedTokens The tokens among them that were cached.
     * @param placement The placement token for the next turn, or empty.
     * @param problem Why the answer is not whole, or empty.
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
         * Returns an answer that is not whole.
         *
         * @param cut Whether the answer had begun.
         * @param problem Why it is not whole.
         * @return The answer.
         */
        private static ChatResponse incomplete(boolean cut, String problem) {
            return new ChatResponse(false, cut, "", 0, 0, "", problem);
        }

        /**
         * Returns this answer as whole.
         *
         * @return The answer.
         */
        private ChatResponse asComplete() {
            return new ChatResponse(true, false, text, promptTokens, cachedTokens, placement, "");
        }

        /**
         * Returns this answer with a text.
         *
         * @param all The text.
         * @return The answer.
         */
        private ChatResponse withText(String all) {
            return new ChatResponse(complete, truncated, all, promptTokens, cachedTokens, placement, problem);
        }

        /**
         * Returns this answer with what an event tells.
         *
         * @param event The event.
         * @return The answer.
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
     * Holds a header and a body to send.
     *
     * @param name The header's name, or empty.
     * @param value The header's value.
     * @param body The body.
     */
    record HeaderAndBody(String name, String value, String body) {

        /** Neither header nor body. */
        static final HeaderAndBody NONE = new HeaderAndBody("", "", "");
    }

    /**
     * Holds the answer of a call.
     *
     * @param status The status, or zero if the connection broke.
     * @param body The body.
     * @param verdict The verdict.
     */
    record CallResponse(int status, String body, String verdict) {

        /**
         * Returns {@code true} if the call succeeded.
         *
         * @return {@code true} if the call succeeded.
         */
        boolean isOk() {
            return status == STATUS_OK;
        }
    }
}
