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
    private static final long PIECE_MILLIS = 50;

    /** The time from the begin of a run to the crash that it causes, in milliseconds. */
    private static final long CRASH_MILLIS = 20;

    /** The delay of a frame that is overtaken, in milliseconds. */
    private static final long LATE_MILLIS = 130;

    /** One in so many frames is disturbed in each way. */
    private static final int DISTURBANCES = 24;

    /** The world. */
    private final HistoryWorld world;

    /** The entry instance that receives. */
    private final HistoryNode node;

    /** The farm that the engine belongs to. */
    private final EndpointFarm farm;

    /** The engine. */
    private final EndpointFarm.Member member;

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
            HistoryWorld world,
            HistoryNode node,
            EndpointFarm farm,
            EndpointFarm.Member member,
            FrameListener listener) {
        this.world = world;
        this.node = node;
        this.farm = farm;
        this.member = member;
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
                    farm.onWork(member);
                    farm.onGenerated(request.requestId());
                    EngineRun run =
                            new EngineRun(
                                    request.requestId(), request.prompt(), request.maximumTokens());
                    member.runs().put(request.requestId(), run);
                    run.follow(this, 0);
                    if (request.prompt().startsWith(EndpointFarm.POISON)) {
                        world.scheduler()
                                .after(CRASH_MILLIS, () -> farm.crashBy(member, request.prompt()));
                    }
                    world.scheduler().after(PIECE_MILLIS, () -> piece(request.requestId(), run));
                });
    }

    /**
     * Lets a run generate pieces until it is whole or gone.
     *
     * @param requestId The identifier of the request.
     * @param run The run.
     */
    private void piece(String requestId, EngineRun run) {
        if (member.runs().get(requestId) == run && run.generate()) {
            world.scheduler().after(PIECE_MILLIS, () -> piece(requestId, run));
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
                    EngineRun run = member.runs().get(requestId);
                    if (run == null) {
                        fail(
                                RequestFailureException.mayHaveRun(
                                        FailureCode.NOT_FOUND,
                                        "Cannot find request: " + requestId));
                    } else {
                        run.follow(this, from);
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
        if (world.isCut(node.zone(), member.zone())) {
            breakOff();
            return;
        }
        SplittableRandom random = world.random();
        switch (farm.isDisturbed() ? random.nextInt(DISTURBANCES) : DISTURBANCES) {
            case 0 -> world.scheduler().after(LATE_MILLIS, () -> deliver(frame));
            case 1 -> {
                deliver(frame);
                deliver(frame);
            }
            case 2 ->
                    deliver(
                            new ResponseFrame(
                                    "other", frame.sequence(), "[other/0]", frame.usage()));
            case DISTURBANCES - 1 -> breakOff();
            case DISTURBANCES - 2 -> close();
            case DISTURBANCES / 2 -> {
                /* the frame is lost */
            }
            default -> deliver(frame);
        }
    }

    /** Breaks the stream. */
    void breakOff() {
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
        world.scheduler()
                .after(
                        1,
                        () -> {
                            if (world.isCut(node.zone(), member.zone())) {
                                world.scheduler().after(CONNECT_TIMEOUT_MILLIS, this::refuse);
                            } else if (member.incarnation() < 0) {
                                refuse();
                            } else {
                                action.run();
                            }
                        });
    }

    /** Fails the stream before a byte was written. */
    private void refuse() {
        fail(RequestFailureException.notRun(FailureCode.NO_ENDPOINT, "Cannot connect to engine"));
    }

    /**
     * Delivers a frame, and closes the stream after the last one.
     *
     * @param frame The frame.
     */
    private void deliver(ResponseFrame frame) {
        tell(1, () -> listener.onFrame(frame));
        if (frame.isLast()) {
            world.scheduler().after(LATE_MILLIS, this::close);
        }
    }

    /** Closes the stream in the ordinary way. */
    private void close() {
        tell(2, () -> end(listener::onClosed));
    }

    /**
     * Fails the stream.
     *
     * @param failure The failure.
     */
    private void fail(RequestFailureException failure) {
        tell(1, () -> end(() -> listener.onFailure(failure)));
    }

    /**
     * Tells the listener something after a delay, unless the stream has ended by then.
     *
     * @param delayMillis The delay in milliseconds.
     * @param news What to tell, run at the node.
     */
    private void tell(long delayMillis, Runnable news) {
        world.scheduler().after(delayMillis, () -> node.run(() -> tellUnlessEnded(news)));
    }

    /**
     * Tells the listener something unless the stream has ended.
     *
     * @param news What to tell.
     */
    private void tellUnlessEnded(Runnable news) {
        if (!ended) {
            news.run();
        }
    }

    /**
     * Ends the stream and tells the listener.
     *
     * @param news What to tell.
     */
    private void end(Runnable news) {
        ended = true;
        news.run();
    }
}
