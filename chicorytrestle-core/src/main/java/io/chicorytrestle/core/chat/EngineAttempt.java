package io.chicorytrestle.core.chat;

import io.chicorytrestle.core.endpoint.FrameListener;
import io.chicorytrestle.core.endpoint.GenerateRequest;
import io.chicorytrestle.core.endpoint.ResponseFrame;
import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.core.poison.PoisonGuard;
import io.chicorytrestle.core.routing.Admission;
import io.chicorytrestle.core.routing.WorkOutcome;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Executes a request on one engine and resumes its stream when that is interrupted. All methods are
 * called under the lock of the turn.
 */
final class EngineAttempt {

    /** The value of {@link #resumeAtMillis} if no attempt to resume is scheduled. */
    private static final long NO_RESUME_SCHEDULED = Long.MAX_VALUE;

    /** The turn that the attempt belongs to; it receives the response. */
    private final SharedTurn turn;

    /** The dependencies of the turn. */
    private final ChatEnvironment environment;

    /** The settings. */
    private final ChatSettings settings;

    /** The request to the engine. */
    private final GenerateRequest generate;

    /** The admission to the engine. */
    private final Admission admission;

    /** The execution that the poison guard permitted, which receives the outcome. */
    private final PoisonGuard.Execution execution;

    /** Validates the frames across all streams of the attempt. */
    private final FrameValidator frameValidator;

    /** The open stream, or {@code null} if there is none. Events of earlier streams are ignored. */
    private @Nullable EngineStream currentStream;

    /** The time by which the first frame must be received, in milliseconds. */
    private long deadlineMillis;

    /** The time at which the last frame was received or the stall was handled, in milliseconds. */
    private long lastFrameMillis;

    /** The attempts to resume since the last frame that extended the response. */
    private int resumeAttempts;

    /** The time of the next attempt to resume, in milliseconds, or {@link #NO_RESUME_SCHEDULED}. */
    private long resumeAtMillis = NO_RESUME_SCHEDULED;

    /** Whether a frame that extends the response was received. */
    private boolean frameReceived;

    /** Whether the attempt has ended, after which it ignores all events. */
    private boolean ended;

    /**
     * Creates a new attempt.
     *
     * @param turn The turn.
     * @param environment The dependencies of the turn.
     * @param settings The settings.
     * @param generate The request to the engine.
     * @param admission The admission to the engine.
     * @param permittedExecution The execution that the poison guard permitted, which receives the
     *     outcome.
     */
    EngineAttempt(
            SharedTurn turn,
            ChatEnvironment environment,
            ChatSettings settings,
            GenerateRequest generate,
            Admission admission,
            PoisonGuard.Execution permittedExecution) {
        this.turn = turn;
        this.environment = environment;
        this.settings = settings;
        this.generate = generate;
        this.admission = admission;
        this.execution = permittedExecution;
        frameValidator = environment.frameValidators().make(generate.requestId());
    }

    /**
     * Starts the attempt.
     *
     * @param firstFrameMillis The time by which the first frame must be received, in milliseconds.
     * @param mayBeKnown {@code true} if the engine may already hold the request, from an earlier
     *     try of the caller at any entry instance.
     * @param nowMillis The current time in milliseconds.
     */
    void start(long firstFrameMillis, boolean mayBeKnown, long nowMillis) {
        deadlineMillis = firstFrameMillis;
        lastFrameMillis = nowMillis;
        if (mayBeKnown) {
            resume(StreamPurpose.REATTACH);
        } else {
            generate();
        }
    }

    /**
     * Checks the time-outs of the attempt and resumes its stream when that is due.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void step(long nowMillis) {
        if (ended) {
            return;
        }
        if (!frameReceived && nowMillis >= deadlineMillis) {
            cancel(nowMillis);
            turn.fail(
                    RequestFailureException.mayHaveRun(
                            FailureCode.DEADLINE, "Cannot begin the answer in time"));
        } else if (nowMillis >= resumeAtMillis) {
            resume(StreamPurpose.CONTINUE);
        } else if (frameReceived
                && resumeAtMillis == NO_RESUME_SCHEDULED
                && nowMillis - lastFrameMillis >= settings.stallTimeoutMillis()) {
            lastFrameMillis = nowMillis;
            handleInterruption(false, nowMillis);
        }
    }

    /**
     * Cancels the attempt and its request at the engine.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void cancel(long nowMillis) {
        if (!ended) {
            end(
                    WorkOutcome.Result.CANCELLED,
                    null,
                    PoisonGuard.ExecutionOutcome.ABANDONED,
                    nowMillis);
            environment.engines().cancel(admission.endpoint(), generate.requestId());
        }
    }

    /** Sends the request to the engine. */
    private void generate() {
        EngineStream opened = new EngineStream(StreamPurpose.GENERATE);
        currentStream = opened;
        environment.engines().generate(admission.endpoint(), generate, opened);
    }

    /**
     * Requests the rest of the response from the engine, from the next expected frame on.
     *
     * @param purpose The purpose of the new stream.
     */
    private void resume(StreamPurpose purpose) {
        resumeAtMillis = NO_RESUME_SCHEDULED;
        EngineStream opened = new EngineStream(purpose);
        currentStream = opened;
        environment
                .engines()
                .resume(
                        admission.endpoint(),
                        generate.requestId(),
                        frameValidator.nextSequence(),
                        opened);
    }

    /**
     * Handles a frame of the open stream.
     *
     * @param frame The frame.
     */
    private void handleFrame(ResponseFrame frame) {
        long nowMillis = environment.clock().getAsLong();
        switch (frameValidator.validate(frame)) {
            case TEXT -> {
                recordProgress(nowMillis);
                turn.onText(frame.text());
            }
            case END -> {
                recordProgress(nowMillis);
                Optional<String> placement =
                        end(
                                WorkOutcome.Result.DONE,
                                frame.usage(),
                                PoisonGuard.ExecutionOutcome.COMPLETED,
                                nowMillis);
                turn.onComplete(Objects.requireNonNull(frame.usage()), placement);
            }
            case DUPLICATE -> lastFrameMillis = nowMillis;
            case GAP, FOREIGN -> handleInterruption(true, nowMillis);
        }
    }

    /**
     * Records that the response was extended, which resets the count of attempts to resume.
     *
     * @param nowMillis The current time in milliseconds.
     */
    private void recordProgress(long nowMillis) {
        frameReceived = true;
        lastFrameMillis = nowMillis;
        resumeAttempts = 0;
    }

    /**
     * Handles an interruption of the stream: resumes it at once or after a delay, or ends the
     * attempt if the maximum number of attempts to resume is reached.
     *
     * @param immediately {@code true} to resume without a delay, since the engine is known to be
     *     reachable.
     * @param nowMillis The current time in milliseconds.
     */
    private void handleInterruption(boolean immediately, long nowMillis) {
        currentStream = null;
        if (resumeAttempts >= settings.maximumResumeAttempts()) {
            endAsLost(
                    RequestFailureException.mayHaveRun(
                            FailureCode.ANSWER_CUT, "Cannot go on with the answer: it was cut"),
                    PoisonGuard.ExecutionOutcome.ABANDONED,
                    nowMillis);
            return;
        }
        resumeAttempts++;
        if (immediately || resumeAttempts == 1) {
            resume(StreamPurpose.CONTINUE);
        } else {
            resumeAtMillis = nowMillis + (settings.resumeDelayMillis() << (resumeAttempts - 2));
        }
    }

    /**
     * Handles the failure of a stream according to its purpose.
     *
     * @param purpose The purpose of the stream.
     * @param failure The failure.
     */
    private void handleStreamFailure(StreamPurpose purpose, RequestFailureException failure) {
        long nowMillis = environment.clock().getAsLong();
        boolean requestUnknown = failure.code() == FailureCode.NOT_FOUND;
        switch (purpose) {
            case REATTACH -> {
                if (requestUnknown) {
                    generate();
                } else {
                    endAsNotRun(failure, nowMillis);
                }
            }
            case GENERATE -> {
                if (failure.verdict() == Verdict.NOT_RUN && !frameReceived) {
                    endAsNotRun(failure, nowMillis);
                } else {
                    handleInterruption(false, nowMillis);
                }
            }
            case CONTINUE -> {
                if (requestUnknown || resumeAttempts >= settings.maximumResumeAttempts()) {
                    endAsLost(
                            RequestFailureException.mayHaveRun(
                                    FailureCode.ENDPOINT_FAILED,
                                    "Cannot go on with the answer: the engine lost it"),
                            PoisonGuard.ExecutionOutcome.CRASHED,
                            nowMillis);
                } else {
                    handleInterruption(false, nowMillis);
                }
            }
        }
    }

    /**
     * Ends the attempt as not run, which permits a retry.
     *
     * @param failure The failure.
     * @param nowMillis The current time in milliseconds.
     */
    private void endAsNotRun(RequestFailureException failure, long nowMillis) {
        boolean refused = failure.code() == FailureCode.OVERLOADED;
        end(
                refused ? WorkOutcome.Result.REFUSED : WorkOutcome.Result.BROKEN,
                null,
                PoisonGuard.ExecutionOutcome.ABANDONED,
                nowMillis);
        turn.onAttemptFailed(
                admission.endpoint().name(),
                new RequestFailureException(
                        failure.code(),
                        Verdict.NOT_RUN,
                        failure.message(),
                        failure.retryAfterMillis()),
                nowMillis);
    }

    /**
     * Ends the attempt because its response can't be completed.
     *
     * @param failure The failure.
     * @param outcome The outcome that is reported to the poison guard.
     * @param nowMillis The current time in milliseconds.
     */
    private void endAsLost(
            RequestFailureException failure, PoisonGuard.ExecutionOutcome outcome, long nowMillis) {
        end(WorkOutcome.Result.BROKEN, null, outcome, nowMillis);
        environment.engines().cancel(admission.endpoint(), generate.requestId());
        turn.onAttemptFailed(admission.endpoint().name(), failure, nowMillis);
    }

    /**
     * Ends the attempt and reports its results to the poison guard and the dispatcher.
     *
     * @param result The result that is reported to the dispatcher.
     * @param usage The tokens that the work cost, or {@code null} if that is unknown.
     * @param outcome The outcome that is reported to the poison guard.
     * @param nowMillis The current time in milliseconds.
     * @return The placement token for the caller, or empty.
     */
    private Optional<String> end(
            WorkOutcome.Result result,
            @Nullable Usage usage,
            PoisonGuard.ExecutionOutcome outcome,
            long nowMillis) {
        ended = true;
        currentStream = null;
        execution.end(outcome, nowMillis);
        return environment
                .dispatcher()
                .complete(admission, new WorkOutcome(result, usage), nowMillis);
    }

    /** The purposes of a stream. */
    private enum StreamPurpose {

        /**
         * Looks for the same request from an earlier try of the caller, and generates the response
         * if the engine doesn't know it.
         */
        REATTACH,

        /** Generates the response. */
        GENERATE,

        /** Continues the response after an interruption. */
        CONTINUE
    }

    /** Listens to one stream until it is replaced by another one. */
    private final class EngineStream implements FrameListener {

        /** The purpose of the stream. */
        private final StreamPurpose purpose;

        /**
         * Creates a new stream.
         *
         * @param purpose The purpose of the stream.
         */
        private EngineStream(StreamPurpose purpose) {
            this.purpose = purpose;
        }

        @Override
        public void onFrame(ResponseFrame frame) {
            runIfCurrent(() -> handleFrame(frame));
        }

        @Override
        public void onClosed() {
            runIfCurrent(() -> handleInterruption(false, environment.clock().getAsLong()));
        }

        @Override
        public void onFailure(RequestFailureException failure) {
            runIfCurrent(() -> handleStreamFailure(purpose, failure));
        }

        /**
         * Runs an action under the turn's lock if this stream is still the open one.
         *
         * @param action The action.
         */
        private void runIfCurrent(Runnable action) {
            turn.runLocked(
                    () -> {
                        if (currentStream == this && !ended) {
                            action.run();
                        }
                    });
        }
    }
}
