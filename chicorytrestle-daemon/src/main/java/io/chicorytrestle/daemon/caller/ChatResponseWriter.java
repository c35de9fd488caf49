package io.chicorytrestle.daemon.caller;

import com.google.common.flogger.FluentLogger;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.chicorytrestle.core.chat.ChatCoordinator;
import io.chicorytrestle.core.chat.ChatRequest;
import io.chicorytrestle.core.chat.ResponseListener;
import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import io.chicorytrestle.daemon.log.LogScope;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Turns the pieces of one answer into the caller's response, streamed or whole. The listener's
 * methods may be called by any thread; all else happens in the event loop of the caller.
 */
final class ChatResponseWriter implements ResponseListener {

    /** Writes log lines. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The status of a successful answer. */
    private static final int OK = 200;

    /** The event that ends a whole streamed answer. */
    private static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    /** What this answer works with. */
    private final CallerDependencies dependencies;

    /** The request. */
    private final CallerRequest request;

    /** Names the answer. */
    private final CompletionBodies.Metadata metadata;

    /** Whether the answer is streamed. */
    private final boolean streamed;

    /** The response to the caller. */
    private final SettablePromise<HttpResponse> responsePromise = new SettablePromise<>();

    /** The pieces of a streamed answer. */
    private final ResponseBodyChannel bodyChannel;

    /** The text of an answer that is not streamed. */
    private final StringBuilder bufferedText = new StringBuilder();

    /** The turn, once it was started. */
    private ChatCoordinator.@Nullable Turn turn;

    /** The time of the last text in milliseconds, or zero before the first. */
    private long lastTextMillis;

    /** Whether the answer ended or was given up. */
    private boolean ended;

    /**
     * Creates a new answer.
     *
     * @param services What this answer works with.
     * @param request The request.
     * @param head Names the answer.
     * @param streamed Whether the answer is streamed.
     */
    ChatResponseWriter(
            CallerDependencies services,
            CallerRequest request,
            CompletionBodies.Metadata head,
            boolean streamed) {
        this.dependencies = services;
        this.request = request;
        this.metadata = head;
        this.streamed = streamed;
        bodyChannel =
                new ResponseBodyChannel(
                        services.settings().limits().answerBufferBytes(), this::handleDisconnect);
    }

    /**
     * Starts the turn.
     *
     * @param chat The turn.
     * @return The response.
     */
    Promise<HttpResponse> startTurn(ChatRequest chat) {
        request.connection().watchForDisconnect(this::handleDisconnect);
        ChatCoordinator.Turn started =
                dependencies.chatCoordinator().start(chat, this, request.startMillis());
        turn = started;
        if (ended) {
            started.cancel(dependencies.clock().nowMillis());
        }
        return responsePromise;
    }

    @Override
    public void onText(String piece) {
        runInLoop(() -> handleText(piece));
    }

    @Override
    public void onComplete(Usage usage, Optional<String> placement) {
        runInLoop(() -> complete(usage, placement));
    }

    @Override
    public void onFailure(RequestFailureException failure) {
        runInLoop(() -> fail(failure));
    }

    /**
     * Accepts a piece of the answer.
     *
     * @param piece The text.
     */
    private void handleText(String piece) {
        if (ended) {
            return;
        }
        recordLatency();
        if (!streamed) {
            bufferedText.append(piece);
            return;
        }
        startStreamedResponse();
        if (!bodyChannel.offer(
                CallerResponses.serverSentEvent(CompletionBodies.chunk(metadata, piece)))) {
            dependencies.metrics().onSlowCaller();
            try (LogScope ignored = LogScope.ofRequest(request.id())) {
                LOGGER.atWarning().log("Cannot buffer more for slow caller");
            }
            handleDisconnect();
            request.connection().close("Cannot buffer more for slow caller");
        }
    }

    /** Measures the time to the first text and between texts. */
    private void recordLatency() {
        long nowMillis = dependencies.clock().nowMillis();
        if (lastTextMillis == 0) {
            dependencies.metrics().onFirstToken(nowMillis - request.startMillis());
        } else {
            dependencies.metrics().onNextToken(nowMillis - lastTextMillis);
        }
        lastTextMillis = nowMillis;
    }

    /** Starts the streamed response unless it was started. */
    private void startStreamedResponse() {
        if (!responsePromise.isComplete()) {
            responsePromise.set(
                    CallerResponses.responseBuilder(
                                    OK, request.id(), Verdict.RAN, CallerResponses.EVENT_STREAM)
                            .withBodyStream(bodyChannel)
                            .build());
        }
    }

    /**
     * Ends the answer whole.
     *
     * @param usage What the answer cost.
     * @param placement The placement token, or empty.
     */
    private void complete(Usage usage, Optional<String> placement) {
        if (ended) {
            return;
        }
        ended = true;
        dependencies.metrics().onUsage(usage);
        if (streamed) {
            startStreamedResponse();
            bodyChannel.offer(
                    CallerResponses.serverSentEvent(
                            CompletionBodies.lastChunk(metadata, usage, placement)));
            bodyChannel.offer(DONE_EVENT);
            bodyChannel.end();
        } else {
            responsePromise.set(
                    CallerResponses.json(
                            OK,
                            request.id(),
                            Verdict.RAN,
                            CompletionBodies.completion(
                                    metadata, bufferedText.toString(), usage, placement)));
        }
    }

    /**
     * Ends the answer with a failure.
     *
     * @param failure The failure.
     */
    private void fail(RequestFailureException failure) {
        if (ended) {
            return;
        }
        ended = true;
        if (responsePromise.isComplete()) {
            dependencies.metrics().onFailure(failure);
            bodyChannel.offer(
                    CallerResponses.serverSentEvent(
                            CallerResponses.errorBodyOf(request.id(), failure)));
            bodyChannel.end();
        } else {
            responsePromise.setException(failure);
        }
    }

    /** Gives the answer up because its caller left. */
    private void handleDisconnect() {
        if (ended) {
            return;
        }
        ended = true;
        dependencies.metrics().onCallerDisconnect();
        try (LogScope ignored = LogScope.ofRequest(request.id())) {
            LOGGER.atInfo().log("Cannot answer caller that left");
        }
        ChatCoordinator.Turn started = turn;
        if (started != null) {
            started.cancel(dependencies.clock().nowMillis());
        }
        if (!responsePromise.isComplete()) {
            responsePromise.setException(
                    RequestFailureException.mayHaveRun(
                            FailureCode.ANSWER_CUT, "Cannot answer caller that left"));
        }
        bodyChannel.close();
    }

    /**
     * Runs an action in the event loop of the caller.
     *
     * @param action The action.
     */
    private void runInLoop(Runnable action) {
        if (request.loop().inReactorThread()) {
            action.run();
        } else {
            request.loop().execute(action);
        }
    }
}
