package io.chicorytrestle.daemon.caller;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.chat.ChatRequest;
import io.chicorytrestle.core.identity.ChatKey;
import io.chicorytrestle.core.identity.EndpointKind;
import io.chicorytrestle.core.identity.Names;
import io.chicorytrestle.core.table.PoolRow;
import io.chicorytrestle.core.table.Table;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.Comparator;
import java.util.Optional;

/** Handles chat turns: resolves the model's pool and starts the turn. */
final class ChatHandler implements CallerHandler {

    /** The header with the caller's key of an idempotent request. */
    static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");

    /** The header that names the chat. */
    private static final HttpHeader CHAT = HttpHeaders.of("X-Chat");

    /** The header with the placement token that the chat's previous turn returned. */
    private static final HttpHeader PLACEMENT = HttpHeaders.of("X-Placement");

    /** The bytes of a prompt that are estimated as one token. */
    private static final int BYTES_PER_TOKEN = 4;

    /** The maximum number of tokens to generate if the caller gives none. */
    private static final int DEFAULT_MAXIMUM_TOKENS = 1_024;

    /** The number of milliseconds in a second. */
    private static final long MILLIS_PER_SECOND = 1_000;

    /** The collaborators of this handler. */
    private final CallerDependencies dependencies;

    /**
     * Creates a handler.
     *
     * @param dependencies The collaborators of this handler.
     */
    ChatHandler(CallerDependencies dependencies) {
        this.dependencies = dependencies;
    }

    @Override
    public Promise<HttpResponse> handle(CallerRequest request) throws RequestFailureException {
        CompletionBodies.Request body = CompletionBodies.parseRequest(request.body());
        String model = body.model() == null ? "" : body.model();
        String chat =
                request.header(CHAT)
                        .or(() -> Optional.ofNullable(body.user()))
                        .orElse(request.id());
        if (!Names.isValid(chat)) {
            throw CompletionBodies.malformed(
                    "X-Chat or user is no name of 1 to " + Names.MAXIMUM_LENGTH + " characters");
        }
        String prompt = body.prompt();
        ChatRequest turn =
                new ChatRequest(
                        request.id(),
                        new ChatKey(request.workspace(), chat),
                        resolvePool(dependencies.blackboard().read(Topics.TABLE), model),
                        prompt,
                        prompt.length() / BYTES_PER_TOKEN + 1,
                        body.maximumTokens() == null
                                ? DEFAULT_MAXIMUM_TOKENS
                                : body.maximumTokens(),
                        request.deadlineMillis(),
                        request.header(PLACEMENT),
                        request.header(IDEMPOTENCY_KEY));
        CompletionBodies.Metadata metadata =
                new CompletionBodies.Metadata(
                        request.id(), request.startMillis() / MILLIS_PER_SECOND, model);
        return new ChatResponseWriter(dependencies, request, metadata, body.stream())
                .startTurn(turn);
    }

    /**
     * Returns the pool that serves a model.
     *
     * @param table The table in force.
     * @param model The name of a pool, or the model that a pool serves. A pool with this name takes
     *     precedence.
     * @return The name of the pool, the first in alphabetical order if several pools serve the
     *     model.
     * @throws RequestFailureException If no engine pool serves the model.
     */
    private static String resolvePool(Table table, String model) throws RequestFailureException {
        Optional<String> poolByName =
                table.pool(model)
                        .filter(row -> row.kind() == EndpointKind.ENGINE)
                        .map(PoolRow::name);
        return poolByName
                .or(
                        () ->
                                table.pools().values().stream()
                                        .filter(row -> row.kind() == EndpointKind.ENGINE)
                                        .filter(row -> row.model().equals(model))
                                        .map(PoolRow::name)
                                        .min(Comparator.naturalOrder()))
                .orElseThrow(
                        () ->
                                RequestFailureException.notRun(
                                        FailureCode.NOT_FOUND, "Cannot find pool of model"));
    }
}
