package io.chicorytrestle.core.chat;

import io.chicorytrestle.core.endpoint.AnswerFrame;
import io.chicorytrestle.core.endpoint.FrameListener;
import io.chicorytrestle.core.endpoint.GenerateRequest;
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
    private static final long NONE = Long.MAX_VALUE;

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
    private final PoisonGuard.Execution run;

    /** Checks the frames, over all streams of the attempt. */
    private final FrameCheck check;

    /** The stream that is open, or {@code null} if none is. */
    private @Nullable Stream stream;

    /** The time by which the first frame has to arrive, in milliseconds. */
    private long deadlineMillis;

    /** The time at which the last frame arrived, in milliseconds. */
    private long lastFrameMillis;

    /** The tries to resume since the last frame. */
    private int resumes;

    /** The time of the next try to resume, or {@link #NONE}. */
    private long resumeAtMillis = NONE;

    /** Whether a frame was received. */
    private boolean received;

    /** Whether the attempt is over. */
    private boolean over;

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
        this.run = run;
        check = environment.checks().make(generate.requestId());
    }

    /**
     * Begins the attempt.
     *
     * @param byMillis The time by which the first frame has to arrive, in milliseconds.
     * @param mayBeHeld {@code true} if the engine may hold the request of an earlier caller's try.
     * @param nowMillis The present time in milliseconds.
     */
    void begin(long byMillis, boolean mayBeHeld, long nowMillis) {
        deadlineMillis = byMillis;
        lastFrameMillis = nowMillis;
        if (mayBeHeld) {
            resume(Stage.TAKE_UP);
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
        if (over) {
            return;
        }
        if (!received && nowMillis >= deadlineMillis) {
            cancel(nowMillis);
            turn.fail(
                    RequestFailureException.mayHaveRun(
                            FailureCode.DEADLINE, "Cannot begin the answer in time"));
        } else if (nowMillis >= resumeAtMillis) {
            resume(Stage.RESUMED);
        } else if (received
                && resumeAtMillis == NONE
                && nowMillis - lastFrameMillis >= settings.stallMillis()) {
            lastFrameMillis = nowMillis;
            cut(false, nowMillis);
        }
    }

    /**
     * Gives the attempt up.
     *
     * @param nowMillis The present time in milliseconds.
     */
    void cancel(long nowMillis) {
        if (!over) {
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
        Stream opened = new Stream(Stage.GENERATED);
        stream = opened;
        environment.engines().generate(admission.endpoint(), generate, opened);
    }

    /**
     * Asks the engine to go on where the answer was cut.
     *
     * @param stage The stage that the stream belongs to.
     */
    private void resume(Stage stage) {
        resumeAtMillis = NONE;
        Stream opened = new Stream(stage);
        stream = opened;
        environment
                .engines()
                .resume(admission.endpoint(), generate.requestId(), check.nextSequence(), opened);
    }

    /**
     * Takes a frame.
     *
     * @param frame The frame.
     */
    private void accept(AnswerFrame frame) {
        long nowMillis = environment.clock().getAsLong();
        switch (check.accept(frame)) {
            case TEXT -> {
                progress(nowMillis);
                turn.onText(frame.text());
            }
            case END -> {
                progress(nowMillis);
                Optional<String> placement =
                        end(
                                WorkOutcome.Result.DONE,
                                frame.usage(),
                                PoisonGuard.ExecutionOutcome.COMPLETED,
                                nowMillis);
                turn.onWhole(Objects.requireNonNull(frame.usage()), placement);
            }
            case DUPLICATE -> lastFrameMillis = nowMillis;
            case GAP, FOREIGN -> cut(true, nowMillis);
        }
    }

    /**
     * Notes that the answer grew.
     *
     * @param nowMillis The present time in milliseconds.
     */
    private void progress(long nowMillis) {
        received = true;
        lastFrameMillis = nowMillis;
        resumes = 0;
    }

    /**
     * Learns that the stream is cut, and plans to resume it.
     *
     * @param atOnce {@code true} if the engine is known to be reachable.
     * @param nowMillis The present time in milliseconds.
     */
    private void cut(boolean atOnce, long nowMillis) {
        stream = null;
        if (resumes >= settings.maximumResumes()) {
            lost(
                    RequestFailureException.mayHaveRun(
                            FailureCode.ANSWER_CUT, "Cannot go on with the answer: it was cut"),
                    PoisonGuard.ExecutionOutcome.ABANDONED,
                    nowMillis);
            return;
        }
        resumes++;
        if (atOnce || resumes == 1) {
            resume(Stage.RESUMED);
        } else {
            resumeAtMillis = nowMillis + (settings.resumeDelayMillis() << (resumes - 2));
        }
    }

    /**
     * Learns that a stream failed.
     *
     * @param stage The stream's stage.
     * @param failure The failure.
     */
    private void failed(Stage stage, RequestFailureException failure) {
        long nowMillis = environment.clock().getAsLong();
        boolean unknown = failure.code() == FailureCode.NOT_FOUND;
        switch (stage) {
            case TAKE_UP -> {
                if (unknown) {
                    generate();
                } else {
                    notRun(failure, nowMillis);
                }
            }
            case GENERATED -> {
                if (failure.verdict() == Verdict.NOT_RUN && !received) {
                    notRun(failure, nowMillis);
                } else {
                    cut(false, nowMillis);
                }
            }
            case RESUMED -> {
                if (unknown || resumes >= settings.maximumResumes()) {
                    lost(
                            RequestFailureException.mayHaveRun(
                                    FailureCode.ENDPOINT_FAILED,
                                    "Cannot go on with the answer: the engine lost it"),
                            PoisonGuard.ExecutionOutcome.CRASHED,
                            nowMillis);
                } else {
                    cut(false, nowMillis);
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
    private void notRun(RequestFailureException failure, long nowMillis) {
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
    private void lost(
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
        over = true;
        stream = null;
        run.end(ending, nowMillis);
        return environment
                .dispatcher()
                .complete(admission, new WorkOutcome(result, usage), nowMillis);
    }

    /** Enumerates what a stream was opened for. */
    private enum Stage {

        /** The stream looks for the request of an earlier caller's try. */
        TAKE_UP,

        /** The stream generates the answer. */
        GENERATED,

        /** The stream goes on where an earlier one was cut. */
        RESUMED
    }

    /** Follows one stream until another one takes its place. */
    private final class Stream implements FrameListener {

        /** What the stream was opened for. */
        private final Stage stage;

        /**
         * Creates a new stream.
         *
         * @param stage What the stream was opened for.
         */
        private Stream(Stage stage) {
            this.stage = stage;
        }

        @Override
        public void onFrame(AnswerFrame frame) {
            ifOpen(() -> accept(frame));
        }

        @Override
        public void onClosed() {
            ifOpen(() -> cut(false, environment.clock().getAsLong()));
        }

        @Override
        public void onFailure(RequestFailureException failure) {
            ifOpen(() -> failed(stage, failure));
        }

        /**
         * Runs an action if no other stream took the place of this one.
         *
         * @param action The action.
         */
        private void ifOpen(Runnable action) {
            turn.locked(
                    () -> {
                        if (stream == this && !over) {
                            action.run();
                        }
                    });
        }
    }
}
