package io.chicorytrestle.bench.history;

import io.chicorytrestle.core.endpoint.FrameListener;
import io.chicorytrestle.core.endpoint.GenerateRequest;
import io.chicorytrestle.core.endpoint.ResponseFrame;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.SplittableRandom;

/** Carries the frames of one request from an engine to an entry instance, in virtual time. */
final class EngineStream {

    /** The time that a connection to a zone that is cut off takes to fail, in milliseconds. */
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    /** The time between pieces in milliseconds. */
    private static final long PIECE_INTERVAL_MILLIS = 50;

    /** The time from the begin of a run to the crash that it causes, in milliseconds. */
    private static final long CRASH_DELAY_MILLIS = 20;

    /** The delay of a frame that is overtaken, in milliseconds. */
    private static final long LATE_FRAME_MILLIS = 130;

    /** One in so many frames is disturbed in each way. */
    private static final int DISTURBANCE_ONE_IN = 24;

    /** The world. */
    private final HistorySimulation simulation;

    /** The entry instance that receives. */
    private final SimulatedInstance instance;

    /** The farm that the engine belongs to. */
    private final SimulatedEndpoints endpoints;

    /** The engine. */
    private final SimulatedEndpoints.SimulatedEndpoint engine;

    /** Receives the frames. */
    private final FrameListener listener;

    /** Whether the stream ended. */
    private boolean ended;

    /**
     * Creates a new stream.
     *
     * @param world The world.
     * @param node The entry instance that receives.
     * @param farm The farm that the engine belongs to.
     * @param member The engine.
     * @param listener Receives the frames.
     */
    EngineStream(
            HistorySimulation world,
            SimulatedInstance node,
            SimulatedEndpoints farm,
            SimulatedEndpoints.SimulatedEndpoint member,
            FrameListener listener) {
        this.simulation = world;
        this.instance = node;
        this.endpoints = farm;
        this.engine = member;
        this.listener = listener;
    }

    /**
     * Starts a request at the engine.
     *
     * @param request The request.
     */
    void generate(GenerateRequest request) {
        connect(
                () -> {
                    endpoints.checkWorkAllowed(engine);
                    endpoints.recordRequestStarted(request.requestId());
                    EngineRun run =
                            new EngineRun(
                                    request.requestId(), request.prompt(), request.maximumTokens());
                    engine.runs().put(request.requestId(), run);
                    run.addStream(this, 0);
                    if (request.prompt().startsWith(SimulatedEndpoints.POISON_PREFIX)) {
                        simulation
                                .scheduler()
                                .scheduleAfter(
                                        CRASH_DELAY_MILLIS,
                                        () -> endpoints.crashByPrompt(engine, request.prompt()));
                    }
                    simulation
                            .scheduler()
                            .scheduleAfter(
                                    PIECE_INTERVAL_MILLIS,
                                    () -> generateNextPiece(request.requestId(), run));
                });
    }

    /**
     * Lets a run generate pieces until it is whole or gone.
     *
     * @param requestId The identifier of the request.
     * @param run The run.
     */
    private void generateNextPiece(String requestId, EngineRun run) {
        if (engine.runs().get(requestId) == run && run.generateFrame()) {
            simulation
                    .scheduler()
                    .scheduleAfter(PIECE_INTERVAL_MILLIS, () -> generateNextPiece(requestId, run));
        }
    }

    /**
     * Follows a request that the engine holds.
     *
     * @param requestId The identifier of the request.
     * @param from The sequence of the first frame.
     */
    void resume(String requestId, int from) {
        connect(
                () -> {
                    EngineRun run = engine.runs().get(requestId);
                    if (run == null) {
                        fail(
                                RequestFailureException.mayHaveRun(
                                        FailureCode.NOT_FOUND,
                                        "Cannot find request: " + requestId));
                    } else {
                        run.addStream(this, from);
                    }
                });
    }

    /**
     * Sends a frame, disturbed or not.
     *
     * @param frame The frame.
     */
    void send(ResponseFrame frame) {
        if (ended) {
            return;
        }
        if (simulation.isPartitioned(instance.zone(), engine.zone())) {
            breakConnection();
            return;
        }
        SplittableRandom random = simulation.random();
        switch (endpoints.isDisturbingFrames()
                ? random.nextInt(DISTURBANCE_ONE_IN)
                : DISTURBANCE_ONE_IN) {
            case 0 -> simulation.scheduler().scheduleAfter(LATE_FRAME_MILLIS, () -> deliverFrame(frame));
            case 1 -> {
                deliverFrame(frame);
                deliverFrame(frame);
            }
            case 2 ->
                    deliverFrame(
                            new ResponseFrame(
                                    "other", frame.sequence(), "[other/0]", frame.usage()));
            case DISTURBANCE_ONE_IN - 1 -> breakConnection();
            case DISTURBANCE_ONE_IN - 2 -> closeNormally();
            case DISTURBANCE_ONE_IN / 2 -> {
                /* the frame is lost */
            }
            default -> deliverFrame(frame);
        }
    }

    /** Breaks the stream. */
    void breakConnection() {
        fail(
                RequestFailureException.mayHaveRun(
                        FailureCode.ENDPOINT_FAILED, "Cannot read stream: it broke"));
    }

    /**
     * Connects to the engine.
     *
     * @param action What happens at the engine.
     */
    private void connect(Runnable action) {
        simulation
                .scheduler()
                .scheduleAfter(
                        1,
                        () -> {
                            if (simulation.isPartitioned(instance.zone(), engine.zone())) {
                                simulation
                                        .scheduler()
                                        .scheduleAfter(CONNECT_TIMEOUT_MILLIS, this::failConnect);
                            } else if (engine.incarnation() < 0) {
                                failConnect();
                            } else {
                                action.run();
                            }
                        });
    }

    /** Fails the stream before a byte was written. */
    private void failConnect() {
        fail(RequestFailureException.notRun(FailureCode.NO_ENDPOINT, "Cannot connect to engine"));
    }

    /**
     * Delivers a frame, and closes the stream after the last one.
     *
     * @param frame The frame.
     */
    private void deliverFrame(ResponseFrame frame) {
        notifyLater(1, () -> listener.onFrame(frame));
        if (frame.isLast()) {
            simulation.scheduler().scheduleAfter(LATE_FRAME_MILLIS, this::closeNormally);
        }
    }

    /** Closes the stream in the ordinary way. */
    private void closeNormally() {
        notifyLater(2, () -> endAndNotify(listener::onClosed));
    }

    /**
     * Fails the stream.
     *
     * @param failure The failure.
     */
    private void fail(RequestFailureException failure) {
        notifyLater(1, () -> endAndNotify(() -> listener.onFailure(failure)));
    }

    /**
     * Tells the listener something after a delay, unless the stream has ended by then.
     *
     * @param delayMillis The delay in milliseconds.
     * @param news What to tell, run at the node.
     */
    private void notifyLater(long delayMillis, Runnable news) {
        simulation
                .scheduler()
                .scheduleAfter(delayMillis, () -> instance.run(() -> notifyUnlessEnded(news)));
    }

    /**
     * Tells the listener something unless the stream has ended.
     *
     * @param news What to tell.
     */
    private void notifyUnlessEnded(Runnable news) {
        if (!ended) {
            news.run();
        }
    }

    /**
     * Ends the stream and tells the listener.
     *
     * @param news What to tell.
     */
    private void endAndNotify(Runnable news) {
        ended = true;
        news.run();
    }
}
