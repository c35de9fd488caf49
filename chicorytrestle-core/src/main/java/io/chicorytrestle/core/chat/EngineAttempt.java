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
 * Runs a request on one engine and resumes its stream when that is cut. All methods are called
 * under the turn's lock.
 */
final class EngineAttempt {

    /** Marks that no try to resume is planned. */
    private static final long NO_RESUME_SCHEDULED = Long.MAX_VALUE;

    /** The turn. */
    private final SharedTurn turn;

    /** The parts that the turn works with. */
    private final ChatEnvironment environment;

    /** The settings. */
    private final ChatSettings settings;

    /** What the engine is asked for. */
    private final GenerateRequest generate;

    /** The permission to use the engine. */
    private final Admission admission;

    /** The run as the guard against poison knows it. */
    private final PoisonGuard.Execution execution;

    /** Checks the frames, over all streams of the attempt. */
    private final FrameValidator frameValidator;

    /** The stream that is open, or {@code null} if none is. */
    private @Nullable EngineStream currentStream;

    /** The time by which the first frame has to arrive, in milliseconds. */
    private long deadlineMillis;

    /** The time at which the last frame arrived, in milliseconds. */
    private long lastFrameMillis;

    /** The tries to resume since the last frame. */
    private int resumeAttempts;

    /** The time of the next try to resume, or {@link #NO_RESUME_SCHEDULED}. */
    private long resumeAtMillis = NO_RESUME_SCHEDULED;

    /** Whether a frame was received. */
    private boolean frameReceived;

    /** Whether the attempt is over. */
    private boolean ended;

    /**
     * Creates a new attempt.
     *
     * @param turn The turn.
     * @param environment The parts that the turn works with.
     * @param settings The settings.
     * @param generate What the engine is asked for.
     * @param admission The permission to use the engine.
     * @param run The run as the guard against poison knows it.
     */
    EngineAttempt(
            SharedTurn turn,
            ChatEnvironment environment,
            ChatSettings settings,
            GenerateRequest generate,
            Admission admission,
            PoisonGuard.Execution run) {
        this.turn = turn;
        this.environment = environment;
        this.settings = settings;
        this.generate = generate;
        this.admission = admission;
        this.execution = run;
        frameValidator = environment.frameValidators().make(generate.requestId());
    }

    /**
     * Begins the attempt.
     *
     * @param byMillis The time by which the first frame has to arrive, in milliseconds.
     * @param mayBeHeld {@code true} if the engine may hold the request of an earlier caller's try.
     * @param nowMillis The present time in milliseconds.
     */
    void start(long byMillis, boolean mayBeHeld, long nowMillis) {
        deadlineMillis = byMillis;
        lastFrameMillis = nowMillis;
        if (mayBeHeld) {
            resume(StreamPurpose.REATTACH);
        } else {
            generate();
        }
    }

    /**
     * Drives the attempt's timeouts.
     *
     * @param nowMillis The present time in milliseconds.
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
     * Gives the attempt up.
     *
     * @param nowMillis The present time in milliseconds.
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

    /** Asks the engine to generate the answer. */
    private void generate() {
        EngineStream opened = new EngineStream(StreamPurpose.GENERATE);
        currentStream = opened;
        environment.engines().generate(admission.endpoint(), generate, opened);
    }

    /**
     * Asks the engine to go on where the answer was cut.
     *
     * @param stage The stage that the stream belongs to.
     */
    private void resume(StreamPurpose stage) {
        resumeAtMillis = NO_RESUME_SCHEDULED;
        EngineStream opened = new EngineStream(stage);
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
     * Takes a frame.
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
     * Notes that the answer grew.
     *
     * @param nowMillis The present time in milliseconds.
     */
    private void recordProgress(long nowMillis) {
        frameReceived = true;
        lastFrameMillis = nowMillis;
        resumeAttempts = 0;
    }

    /**
     * Learns that the stream is cut, and plans to resume it.
     *
     * @param atOnce {@code true} if the engine is known to be reachable.
     * @param nowMillis The present time in milliseconds.
     */
    private void handleInterruption(boolean atOnce, long nowMillis) {
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
        if (atOnce || resumeAttempts == 1) {
            resume(StreamPurpose.CONTINUE);
        } else {
            resumeAtMillis = nowMillis + (settings.resumeDelayMillis() << (resumeAttempts - 2));
        }
    }

    /**
     * Learns that a stream failed.
     *
     * @param stage The stream's stage.
     * @param failure The failure.
     */
    private void handleStreamFailure(StreamPurpose stage, RequestFailureException failure) {
        long nowMillis = environment.clock().getAsLong();
        boolean unknown = failure.code() == FailureCode.NOT_FOUND;
        switch (stage) {
            case REATTACH -> {
                if (unknown) {
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
                if (unknown || resumeAttempts >= settings.maximumResumeAttempts()) {
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
     * Ends an attempt that did not run.
     *
     * @param failure The failure.
     * @param nowMillis The present time in milliseconds.
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
     * Ends an attempt whose answer cannot be completed.
     *
     * @param failure The failure.
     * @param ending How the run ended.
     * @param nowMillis The present time in milliseconds.
     */
    private void endAsLost(
            RequestFailureException failure, PoisonGuard.ExecutionOutcome ending, long nowMillis) {
        end(WorkOutcome.Result.BROKEN, null, ending, nowMillis);
        environment.engines().cancel(admission.endpoint(), generate.requestId());
        turn.onAttemptFailed(admission.endpoint().name(), failure, nowMillis);
    }

    /**
     * Ends the attempt.
     *
     * @param result How the work ended.
     * @param usage What the work cost, or {@code null} if that is unknown.
     * @param ending How the run ended.
     * @param nowMillis The present time in milliseconds.
     * @return The placement token to hand to the caller.
     */
    private Optional<String> end(
            WorkOutcome.Result result,
            @Nullable Usage usage,
            PoisonGuard.ExecutionOutcome ending,
            long nowMillis) {
        ended = true;
        currentStream = null;
        execution.end(ending, nowMillis);
        return environment
                .dispatcher()
                .complete(admission, new WorkOutcome(result, usage), nowMillis);
    }

    /** Enumerates what a stream was opened for. */
    private enum StreamPurpose {

        /** The stream looks for the request of an earlier caller's try. */
        REATTACH,

        /** The stream generates the answer. */
        GENERATE,

        /** The stream goes on where an earlier one was cut. */
        CONTINUE
    }

    /** Follows one stream until another one takes its place. */
    private final class EngineStream implements FrameListener {

        /** What the stream was opened for. */
        private final StreamPurpose purpose;

        /**
         * Creates a new stream.
         *
         * @param stage What the stream was opened for.
         */
        private EngineStream(StreamPurpose stage) {
            this.purpose = stage;
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
         * Runs an action if no other stream took the place of this one.
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
