package io.chicorytrestle.bench.history;

import io.chicorytrestle.core.endpoint.FrameListener;
import io.chicorytrestle.core.endpoint.GenerateRequest;
import io.chicorytrestle.core.endpoint.ResponseFrame;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.SplittableRandom;

/**
 * Simulates the stream that carries the frames of one request from an engine to an entry instance.
 */
final class EngineStream {

    /** The time after which a connection across a network partition fails, in milliseconds. */
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    /** The time between two generated frames in milliseconds. */
    private static final long PIECE_INTERVAL_MILLIS = 50;

    /** The time from the start of a poison prompt to the crash of the engine, in milliseconds. */
    private static final long CRASH_DELAY_MILLIS = 20;

    /**
     * The delay of a frame that later frames overtake, in milliseconds. The stream also stays open
     * for this time after its last frame.
     */
    private static final long LATE_FRAME_MILLIS = 130;

    /** One in this many frames, on average, is disturbed in each of the six simulated ways. */
    private static final int DISTURBANCE_ONE_IN = 24;

    /** The simulation in which the stream runs. */
    private final HistorySimulation simulation;

    /** The entry instance that receives the frames. */
    private final SimulatedInstance instance;

    /** The simulated endpoints, which record requests and decide on disturbances. */
    private final SimulatedEndpoints endpoints;

    /** The engine that sends the frames. */
    private final SimulatedEndpoints.SimulatedEndpoint engine;

    /** The listener at the entry instance, which receives the frames and the end of the stream. */
    private final FrameListener listener;

    /** Whether the listener was notified of the end, after which it receives nothing more. */
    private boolean ended;

    /**
     * Creates a stream that is not yet connected.
     *
     * @param simulation The simulation in which the stream runs.
     * @param instance The entry instance that receives the frames.
     * @param endpoints The simulated endpoints that the engine belongs to.
     * @param engine The engine.
     * @param listener The listener that receives the frames and the end of the stream.
     */
    EngineStream(
            HistorySimulation simulation,
            SimulatedInstance instance,
            SimulatedEndpoints endpoints,
            SimulatedEndpoints.SimulatedEndpoint engine,
            FrameListener listener) {
        this.simulation = simulation;
        this.instance = instance;
        this.endpoints = endpoints;
        this.engine = engine;
        this.listener = listener;
    }

    /**
     * Connects to the engine and starts a request. A poison prompt crashes the engine shortly
     * after.
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
     * Generates the next frame of a run, and repeats this until the response is complete or the
     * engine no longer holds the run.
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
     * Connects to the engine and resumes a request that it holds, or fails if it does not.
     *
     * @param requestId The identifier of the request.
     * @param from The sequence number of the first frame to send.
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
     * Sends a frame, unless the stream has ended. During the fault, the frame may be delayed,
     * duplicated, replaced by one of another request or lost, and the stream may break or close
     * early. A partition between the zones breaks the stream.
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
            case 0 ->
                    simulation
                            .scheduler()
                            .scheduleAfter(LATE_FRAME_MILLIS, () -> deliverFrame(frame));
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
                /* The frame is lost. */
            }
            default -> deliverFrame(frame);
        }
    }

    /** Breaks the stream, so that the listener receives a failure with the verdict may-have-run. */
    void breakConnection() {
        fail(
                RequestFailureException.mayHaveRun(
                        FailureCode.ENDPOINT_FAILED, "Cannot read stream: it broke"));
    }

    /**
     * Connects to the engine.
     *
     * @param action The action to run at the engine once connected.
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

    /** Fails the stream with the verdict not-run, because no connection was made. */
    private void failConnect() {
        fail(RequestFailureException.notRun(FailureCode.NO_ENDPOINT, "Cannot connect to engine"));
    }

    /**
     * Delivers a frame to the listener, and schedules the end of the stream after the last one.
     *
     * @param frame The frame.
     */
    private void deliverFrame(ResponseFrame frame) {
        notifyLater(1, () -> listener.onFrame(frame));
        if (frame.isLast()) {
            simulation.scheduler().scheduleAfter(LATE_FRAME_MILLIS, this::closeNormally);
        }
    }

    /** Closes the stream without a failure. The response may be incomplete. */
    private void closeNormally() {
        notifyLater(2, () -> endAndNotify(listener::onClosed));
    }

    /**
     * Ends the stream with a failure.
     *
     * @param failure The failure to report to the listener.
     */
    private void fail(RequestFailureException failure) {
        notifyLater(1, () -> endAndNotify(() -> listener.onFailure(failure)));
    }

    /**
     * Notifies the listener after a delay, unless the stream has ended by then.
     *
     * @param delayMillis The delay in milliseconds.
     * @param notification The call of the listener, which runs at the entry instance.
     */
    private void notifyLater(long delayMillis, Runnable notification) {
        simulation
                .scheduler()
                .scheduleAfter(
                        delayMillis, () -> instance.run(() -> notifyUnlessEnded(notification)));
    }

    /**
     * Notifies the listener unless the stream has ended.
     *
     * @param notification The call of the listener.
     */
    private void notifyUnlessEnded(Runnable notification) {
        if (!ended) {
            notification.run();
        }
    }

    /**
     * Marks the stream as ended and notifies the listener.
     *
     * @param notification The call of the listener.
     */
    private void endAndNotify(Runnable notification) {
        ended = true;
        notification.run();
    }
}
