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

/** Holds the JSON bodies of chat turns in the format of chat completions. */
final class CompletionBodies {

    /** The role of generated messages. */
    private static final String ASSISTANT = "assistant";

    /** The finish reason of a response that ended by itself. */
    private static final String STOP = "stop";

    /** Parses request bodies, ignoring unknown members. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** Not instantiable. */
    private CompletionBodies() {}

    /**
     * Parses and validates the body of a chat turn.
     *
     * @param body The body as JSON.
     * @return The validated body, with a model and at least one message.
     * @throws RequestFailureException If the body is malformed or lacks a required member.
     */
    static Request parseRequest(String body) throws RequestFailureException {
        Request request;
        try {
            request = MAPPER.readValue(body, Request.class);
        } catch (JsonProcessingException exception) {
            String location =
                    exception.getLocation() == null
                            ? ""
                            : " at line %d column %d"
                                    .formatted(
                                            exception.getLocation().getLineNr(),
                                            exception.getLocation().getColumnNr());
            throw malformed("body is not the JSON of a chat completion" + location);
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
     * @param reason What is wrong with the request.
     * @return The failure, with a verdict that nothing ran.
     */
    static RequestFailureException malformed(String reason) {
        return RequestFailureException.notRun(
                FailureCode.INVALID_REQUEST, "Cannot read request: " + reason);
    }

    /**
     * Builds a chunk of a streamed response.
     *
     * @param metadata The fields that all bodies of the response share.
     * @param text The text of the chunk.
     * @return The chunk.
     */
    static Chunk chunk(Metadata metadata, String text) {
        return new Chunk(
                metadata.id(),
                "chat.completion.chunk",
                metadata.createdSeconds(),
                metadata.model(),
                List.of(new ChunkChoice(0, new Message(ASSISTANT, text), null)),
                null,
                null);
    }

    /**
     * Builds the last chunk of a streamed response.
     *
     * @param metadata The fields that all bodies of the response share.
     * @param usage The token usage of the response.
     * @param placement The placement token, or empty.
     * @return The chunk.
     */
    static Chunk lastChunk(Metadata metadata, Usage usage, Optional<String> placement) {
        return new Chunk(
                metadata.id(),
                "chat.completion.chunk",
                metadata.createdSeconds(),
                metadata.model(),
                List.of(new ChunkChoice(0, new Message(null, null), STOP)),
                UsageBody.of(usage),
                placement.orElse(null));
    }

    /**
     * Builds the body of a response that is not streamed.
     *
     * @param metadata The fields that all bodies of the response share.
     * @param text The complete text.
     * @param usage The token usage of the response.
     * @param placement The placement token, or empty.
     * @return The body.
     */
    static Completion completion(
            Metadata metadata, String text, Usage usage, Optional<String> placement) {
        return new Completion(
                metadata.id(),
                "chat.completion",
                metadata.createdSeconds(),
                metadata.model(),
                List.of(new CompletionChoice(0, new Message(ASSISTANT, text), STOP)),
                UsageBody.of(usage),
                placement.orElse(null));
    }

    /**
     * Holds the fields that all bodies of one response share.
     *
     * @param id The identifier of the request.
     * @param createdSeconds The time of the request in seconds since the epoch.
     * @param model The model as the caller gave it.
     */
    record Metadata(String id, long createdSeconds, String model) {}

    /**
     * The body of a chat turn. Each member may be missing.
     *
     * @param model The name of a pool, or the model that a pool serves.
     * @param messages The messages of the chat, oldest first.
     * @param stream Whether to stream the response.
     * @param maximumTokens The maximum number of tokens to generate, or {@code null} for the
     *     default.
     * @param user The identifier of the chat if the request has no X-Chat header.
     */
    record Request(
            @Nullable String model,
            @Nullable List<RequestMessage> messages,
            boolean stream,
            @JsonProperty("max_tokens") @Nullable Integer maximumTokens,
            @Nullable String user) {

        /**
         * Returns the prompt that is sent to the engine.
         *
         * @return The messages, each with its role, separated by line feeds.
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
     * A message of the chat.
     *
     * @param role The role of the author, or {@code null} for a user.
     * @param content The text, or a list of parts whose texts are concatenated.
     */
    record RequestMessage(@Nullable String role, @Nullable JsonNode content) {

        /**
         * Returns the message as a part of the prompt.
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
     * A generated message, or a part of one.
     *
     * @param role The role of the author, or {@code null} in the last chunk.
     * @param content The text, or {@code null} in the last chunk.
     */
    record Message(@Nullable String role, @Nullable String content) {}

    /**
     * A choice of a chunk.
     *
     * @param index The index of the choice, always zero.
     * @param delta The text that this chunk adds.
     * @param finishReason Why the response ended, or {@code null} in all but the last chunk.
     */
    record ChunkChoice(
            int index,
            Message delta,
            @JsonProperty("finish_reason") @Nullable String finishReason) {}

    /**
     * A choice of a response that is not streamed.
     *
     * @param index The index of the choice, always zero.
     * @param message The complete message.
     * @param finishReason Why the response ended.
     */
    record CompletionChoice(
            int index, Message message, @JsonProperty("finish_reason") String finishReason) {}

    /**
     * A chunk of a streamed response.
     *
     * @param id The identifier of the request.
     * @param object The type of the body.
     * @param created The time of the request in seconds since the epoch.
     * @param model The model as the caller gave it.
     * @param choices The choices.
     * @param usage The token usage, or {@code null} in all but the last chunk.
     * @param placement The placement token, or {@code null} if there is none or this isn't the last
     *     chunk.
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
     * The body of a response that is not streamed.
     *
     * @param id The identifier of the request.
     * @param object The type of the body.
     * @param created The time of the request in seconds since the epoch.
     * @param model The model as the caller gave it.
     * @param choices The choices.
     * @param usage The token usage.
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
     * The token usage of a response.
     *
     * @param promptTokens The tokens of the prompt.
     * @param completionTokens The tokens of the response.
     * @param totalTokens The tokens of both.
     * @param promptTokensDetails How much of the prompt was cached.
     */
    record UsageBody(
            @JsonProperty("prompt_tokens") int promptTokens,
            @JsonProperty("completion_tokens") int completionTokens,
            @JsonProperty("total_tokens") int totalTokens,
            @JsonProperty("prompt_tokens_details") PromptDetails promptTokensDetails) {

        /**
         * Converts a token usage to its body.
         *
         * @param usage The token usage.
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
     * Details of the prompt's token usage.
     *
     * @param cachedTokens The tokens that were served from a prefix cache.
     */
    record PromptDetails(@JsonProperty("cached_tokens") int cachedTokens) {}
}
