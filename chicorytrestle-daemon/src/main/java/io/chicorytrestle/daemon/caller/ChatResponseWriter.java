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
 * Writes the response of one chat turn to its caller, either streamed as server-sent events or as
 * one body. The methods of {@link ResponseListener} may be called by any thread; all other methods
 * run in the event loop of the caller's connection.
 */
final class ChatResponseWriter implements ResponseListener {

    /** The logger of this class. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The HTTP status of a successful response. */
    private static final int OK = 200;

    /** The event that ends a complete streamed response. */
    private static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    /** The services, settings and metrics of the HTTP server. */
    private final CallerDependencies dependencies;

    /** The request to respond to. */
    private final CallerRequest request;

    /** The fields that all bodies of the response share. */
    private final CompletionBodies.Metadata metadata;

    /** Whether the response is streamed. */
    private final boolean streamed;

    /**
     * Completed with the HTTP response: if it is streamed, when the first chunk of text arrives,
     * otherwise when the turn is complete.
     */
    private final SettablePromise<HttpResponse> responsePromise = new SettablePromise<>();

    /** Carries the body of a streamed response. */
    private final ResponseBodyChannel bodyChannel;

    /** The text received so far if the response is not streamed. */
    private final StringBuilder bufferedText = new StringBuilder();

    /** The chat turn, or {@code null} before it was started. */
    private ChatCoordinator.@Nullable Turn turn;

    /** The time of the latest chunk in milliseconds, or zero before the first. */
    private long lastTextMillis;

    /** Whether the response was completed, failed or aborted. */
    private boolean ended;

    /**
     * Creates a writer.
     *
     * @param dependencies The services, settings and metrics of the HTTP server.
     * @param request The request to respond to.
     * @param metadata The fields that all bodies of the response share.
     * @param streamed {@code true} to send server-sent events, {@code false} to send one body.
     */
    ChatResponseWriter(
            CallerDependencies dependencies,
            CallerRequest request,
            CompletionBodies.Metadata metadata,
            boolean streamed) {
        this.dependencies = dependencies;
        this.request = request;
        this.metadata = metadata;
        this.streamed = streamed;
        bodyChannel =
                new ResponseBodyChannel(
                        dependencies.settings().limits().answerBufferBytes(), this::abort);
    }

    /**
     * Starts the turn and watches for a disconnection of the caller.
     *
     * @param turnRequest The request to start the turn with.
     * @return The HTTP response.
     */
    Promise<HttpResponse> startTurn(ChatRequest turnRequest) {
        request.connection().watchForDisconnect(this::abort);
        ChatCoordinator.Turn started =
                dependencies.chatCoordinator().start(turnRequest, this, request.startMillis());
        turn = started;
        // The response may already have ended while the turn was null and could not be cancelled.
        if (ended) {
            started.cancel(dependencies.clock().nowMillis());
        }
        return responsePromise;
    }

    @Override
    public void onText(String chunk) {
        runInLoop(() -> handleText(chunk));
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
     * Sends or buffers a chunk of the response's text.
     *
     * @param chunk The text to append.
     */
    private void handleText(String chunk) {
        if (ended) {
            return;
        }
        recordLatency();
        if (!streamed) {
            bufferedText.append(chunk);
            return;
        }
        startStreamedResponse();
        if (!bodyChannel.offer(
                CallerResponses.serverSentEvent(CompletionBodies.chunk(metadata, chunk)))) {
            dependencies.metrics().onSlowCaller();
            try (LogScope ignored = LogScope.ofRequest(request.id())) {
                LOGGER.atWarning().log(
                        "Response buffer is full because the caller reads too slowly");
            }
            abort();
            request.connection()
                    .close("Response buffer is full because the caller reads too slowly");
        }
    }

    /** Records the time from the request to the first chunk, or since the previous chunk. */
    private void recordLatency() {
        long nowMillis = dependencies.clock().nowMillis();
        if (lastTextMillis == 0) {
            dependencies.metrics().onFirstToken(nowMillis - request.startMillis());
        } else {
            dependencies.metrics().onNextToken(nowMillis - lastTextMillis);
        }
        lastTextMillis = nowMillis;
    }

    /** Sends the head of a streamed response unless it was already sent. */
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
     * Ends the response successfully.
     *
     * @param usage The token usage of the response.
     * @param placement The placement token for the chat's next turn, or empty.
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
     * Ends the response with a failure, which is sent as an event if the head was already sent.
     * Otherwise, the servlet sends it as the whole response and counts it.
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

    /**
     * Aborts the response and cancels the turn because the caller disconnected or reads too slowly.
     */
    private void abort() {
        if (ended) {
            return;
        }
        ended = true;
        dependencies.metrics().onCallerDisconnect();
        try (LogScope ignored = LogScope.ofRequest(request.id())) {
            LOGGER.atInfo().log(
                    "Response aborted because the caller disconnected or reads too slowly");
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
     * Runs an action in the event loop of the caller's connection, immediately if called by its
     * thread.
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
