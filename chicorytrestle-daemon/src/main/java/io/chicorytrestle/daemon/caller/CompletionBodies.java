package io.chicorytrestle.daemon.caller;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** Holds the bodies of chat turns in the shape of chat completions. */
final class CompletionBodies {

    /** The role of answers. */
    private static final String ASSISTANT = "assistant";

    /** Tells that an answer ended by itself. */
    private static final String STOP = "stop";

    /** Reads bodies. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** Prevents instances. */
    private CompletionBodies() {}

    /**
     * Reads the body of a chat turn.
     *
     * @param body The text.
     * @return The body.
     * @throws RequestFailureException If the body is malformed.
     */
    static Request parseRequest(String body) throws RequestFailureException {
        Request request;
        try {
            request = MAPPER.readValue(body, Request.class);
        } catch (JsonProcessingException exception) {
            String place =
                    exception.getLocation() == null
                            ? ""
                            : " at line %d column %d"
                                    .formatted(
                                            exception.getLocation().getLineNr(),
                                            exception.getLocation().getColumnNr());
            throw malformed("body is not the JSON of a chat completion" + place);
        }
        if (request == null || request.model() == null) {
            throw malformed("model is missing");
        }
        if (request.messages() == null || request.messages().isEmpty()) {
            throw malformed("messages are missing");
        }
        if (request.maximumTokens() != null && request.maximumTokens() < 1) {
            throw malformed("max_tokens is below one");
        }
        return request;
    }

    /**
     * Returns the failure of a malformed request.
     *
     * @param reason What is wrong.
     * @return The failure.
     */
    static RequestFailureException malformed(String reason) {
        return RequestFailureException.notRun(
                FailureCode.INVALID_REQUEST, "Cannot read request: " + reason);
    }

    /**
     * Returns a piece of a streamed answer.
     *
     * @param head Names the answer.
     * @param text The text.
     * @return The chunk.
     */
    static Chunk chunk(Metadata head, String text) {
        return new Chunk(
                head.id(),
                "chat.completion.chunk",
                head.createdSeconds(),
                head.model(),
                List.of(new ChunkChoice(0, new Message(ASSISTANT, text), null)),
                null,
                null);
    }

    /**
     * Returns the last piece of a streamed answer.
     *
     * @param head Names the answer.
     * @param usage What the answer cost.
     * @param placement The placement token, or empty.
     * @return The chunk.
     */
    static Chunk lastChunk(Metadata head, Usage usage, Optional<String> placement) {
        return new Chunk(
                head.id(),
                "chat.completion.chunk",
                head.createdSeconds(),
                head.model(),
                List.of(new ChunkChoice(0, new Message(null, null), STOP)),
                UsageBody.of(usage),
                placement.orElse(null));
    }

    /**
     * Returns a whole answer.
     *
     * @param head Names the answer.
     * @param text The text.
     * @param usage What the answer cost.
     * @param placement The placement token, or empty.
     * @return The answer.
     */
    static Completion completion(
            Metadata head, String text, Usage usage, Optional<String> placement) {
        return new Completion(
                head.id(),
                "chat.completion",
                head.createdSeconds(),
                head.model(),
                List.of(new CompletionChoice(0, new Message(ASSISTANT, text), STOP)),
                UsageBody.of(usage),
                placement.orElse(null));
    }

    /**
     * Names an answer.
     *
     * @param id The identifier of the request.
     * @param createdSeconds The time of the request in seconds since the epoch.
     * @param model The model as the caller named it.
     */
    record Metadata(String id, long createdSeconds, String model) {}

    /**
     * The body of a chat turn.
     *
     * @param model A pool's name, or the model of one.
     * @param messages The chat so far.
     * @param stream Whether to stream the answer.
     * @param maximumTokens The most tokens to generate, or {@code null} for the default.
     * @param user The chat, if no header names it.
     */
    record Request(
            @Nullable String model,
            @Nullable List<RequestMessage> messages,
            boolean stream,
            @JsonProperty("max_tokens") @Nullable Integer maximumTokens,
            @Nullable String user) {

        /**
         * Returns the whole prompt.
         *
         * @return The messages, each with its role, one after the other.
         */
        String prompt() {
            return messages == null
                    ? ""
                    : messages.stream()
                            .map(RequestMessage::toPromptText)
                            .collect(Collectors.joining("\n"));
        }
    }

    /**
     * A message of the chat so far.
     *
     * @param role Who spoke.
     * @param content The text, or a list of parts with texts.
     */
    record RequestMessage(@Nullable String role, @Nullable JsonNode content) {

        /**
         * Returns the message as text.
         *
         * @return The role and the text.
         */
        String toPromptText() {
            StringBuilder text = new StringBuilder(role == null ? "user" : role).append(": ");
            if (content != null && content.isTextual()) {
                text.append(content.textValue());
            } else if (content != null) {
                content.forEach(part -> text.append(part.path("text").asText()));
            }
            return text.toString();
        }
    }

    /**
     * A message of an answer, or a part of one.
     *
     * @param role Who speaks, or {@code null}.
     * @param content The text, or {@code null}.
     */
    record Message(@Nullable String role, @Nullable String content) {}

    /**
     * A choice of a streamed answer.
     *
     * @param index The choice's number.
     * @param delta The text that is added.
     * @param finishReason Why the answer ended, or {@code null} if it goes on.
     */
    record ChunkChoice(
            int index,
            Message delta,
            @JsonProperty("finish_reason") @Nullable String finishReason) {}

    /**
     * A choice of a whole answer.
     *
     * @param index The choice's number.
     * @param message The message.
     * @param finishReason Why the answer ended.
     */
    record CompletionChoice(
            int index, Message message, @JsonProperty("finish_reason") String finishReason) {}

    /**
     * A piece of a streamed answer.
     *
     * @param id The identifier of the request.
     * @param object The kind of body.
     * @param created The time of the request in seconds since the epoch.
     * @param model The model as the caller named it.
     * @param choices The choices.
     * @param usage What the answer cost, in the last piece only.
     * @param placement The placement token, in the last piece only.
     */
    record Chunk(
            String id,
            String object,
            long created,
            String model,
            List<ChunkChoice> choices,
            @Nullable UsageBody usage,
            @Nullable String placement) {}

    /**
     * A whole answer.
     *
     * @param id The identifier of the request.
     * @param object The kind of body.
     * @param created The time of the request in seconds since the epoch.
     * @param model The model as the caller named it.
     * @param choices The choices.
     * @param usage What the answer cost.
     * @param placement The placement token, or {@code null}.
     */
    record Completion(
            String id,
            String object,
            long created,
            String model,
            List<CompletionChoice> choices,
            UsageBody usage,
            @Nullable String placement) {}

    /**
     * What an answer cost.
     *
     * @param promptTokens The tokens of the prompt.
     * @param completionTokens The tokens of the answer.
     * @param totalTokens The tokens of both.
     * @param promptTokensDetails Tells how much of the prompt was cached.
     */
    record UsageBody(
            @JsonProperty("prompt_tokens") int promptTokens,
            @JsonProperty("completion_tokens") int completionTokens,
            @JsonProperty("total_tokens") int totalTokens,
            @JsonProperty("prompt_tokens_details") PromptDetails promptTokensDetails) {

        /**
         * Returns the body of a cost.
         *
         * @param usage The cost.
         * @return The body.
         */
        static UsageBody of(Usage usage) {
            return new UsageBody(
                    usage.promptTokens(),
                    usage.generatedTokens(),
                    usage.promptTokens() + usage.generatedTokens(),
                    new PromptDetails(usage.cachedTokens()));
        }
    }

    /**
     * Tells how much of a prompt was cached.
     *
     * @param cachedTokens The tokens that were served from a prefix cache.
     */
    record PromptDetails(@JsonProperty("cached_tokens") int cachedTokens) {}
}
