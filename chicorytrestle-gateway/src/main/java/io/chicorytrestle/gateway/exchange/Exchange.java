package io.chicorytrestle.gateway.exchange;

import io.activej.reactor.schedule.ScheduledRunnable;
import io.chicorytrestle.core.attempt.NextStep;
import io.chicorytrestle.core.attempt.RefusalReason;
import io.chicorytrestle.core.placement.Placement;
import io.chicorytrestle.core.verdict.Verdict;
import io.chicorytrestle.gateway.front.Caller;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Leads one request from its arrival to the end of its answer: places it, sends it, and after a
 * failure repeats, resumes, refuses or fails it. It is confined to the event loop's thread.
 */
final class Exchange {

    /** The crashes under a request, this attempt's own not counted, that forbid repetitions. */
    private static final int SUSPICIOUS_CRASHES = 1;

    /** What all requests share. */
    private final GatewayContext context;

    /** The request. */
    private final RoutedRequest routed;

    /** Reports decisions. */
    private final RequestReport report;

    /** Passes the answer on. */
    private final AnswerRelay relay;

    /** Ends the request. */
    private final Conclusion conclusion;

    /** Counts attempts. */
    private final Progress progress;

    /** The time of arrival in milliseconds. */
    private final long arrivedMillis;

    /** The time in milliseconds by which the answer must be complete. */
    private final long dueMillis;

    /** The incarnations that were tried. */
    private final Set<String> tried = new HashSet<>();

    /** The attempt under way, or null if there is none. */
    private @Nullable Attempt attempt;

    /** Ends the request when its time is over, or null before the start. */
    private @Nullable ScheduledRunnable timer;

    /** Whether the request ended. */
    private boolean isOver;

    /**
     * Creates a new exchange.
     *
     * @param context What all requests share.
     * @param routed The request.
     * @param caller Receives the answer.
     * @param arrivedMillis The time of arrival in milliseconds.
     */
    Exchange(GatewayContext context, RoutedRequest routed, Caller caller, long arrivedMillis) {
        this.context = context;
        this.routed = routed;
        report = new RequestReport(context, routed, arrivedMillis);
        progress = new Progress(routed.route(), context.budgets().of(routed.service()));
        relay = new AnswerRelay(caller);
        conclusion = new Conclusion(context, report, progress, relay);
        this.arrivedMillis = arrivedMillis;
        dueMillis =
                arrivedMillis
                        + Math.min(
                                routed.route().timeoutMillis(),
                                routed.request().deadlineMillis().orElse(Long.MAX_VALUE));
    }

    /** Starts to serve the request. */
    void start() {
        context.begin(this);
        timer = context.reactor().delayBackground(Math.max(1, remainingMillis()), this::expire);
        place();
    }

    /** Chooses an endpoint and sends the request there. */
    private void place() {
        Optional<Placement> chosen =
                context.picker()
                        .pick(
                                context.endpoints(),
                                routed.service(),
                                routed.prompt(),
                                tried,
                                context.nowMillis());
        if (chosen.isEmpty()) {
            if (relay.isStarted()) {
                finish().cut("no other endpoint is left");
            } else if (progress.verdict() == Verdict.NOT_RUN) {
                finish().refused(
                                tried.isEmpty()
                                        ? RefusalReason.NO_ENDPOINT
                                        : RefusalReason.UNREACHABLE,
                                remainingMillis());
            } else {
                finish().failed("no other endpoint is left");
            }
            return;
        }
        Placement placement = chosen.get();
        tried.add(placement.endpoint().incarnation());
        report.placed(placement, remainingMillis());
        Attempt begun = new Attempt(context, this, placement, routed.route());
        attempt = begun;
        begun.silence().begin(remainingMillis());
        begun.begin(
                () ->
                        routed.writer()
                                .write(
                                        placement,
                                        Math.max(1, remainingMillis()),
                                        relay.lastEventId().or(routed.request()::lastEventId)),
                routed.request().id());
    }

    /**
     * Takes note of a request that was written.
     *
     * @param from The attempt.
     */
    void sent(Attempt from) {
        progress.sent();
        routed.request()
                .prompt()
                .ifPresent(
                        prompt ->
                                context.holders()
                                        .read(prompt, from.endpoint(), context.nowMillis()));
    }

    /**
     * Returns the caller.
     *
     * @return The caller.
     */
    Caller caller() {
        return relay.caller();
    }

    /**
     * Returns {@code true} if the answer is a stream of events.
     *
     * @return {@code true} if the answer is a stream of events.
     */
    boolean isStream() {
        return routed.route().repeatability().isStream();
    }

    /**
     * Takes the head of an answer that is passed on as it arrives.
     *
     * @param from The attempt.
     * @param head The head.
     */
    void streamStarted(Attempt from, HttpResponse head) {
        progress.note(Verdict.RAN);
        if (!relay.isStarted()) {
            context.metrics()
                    .histogram("answer_start_ms")
                    .update(context.nowMillis() - arrivedMillis);
            relay.start(head, isStream());
        }
        from.silence().progressed();
    }

    /**
     * Takes a piece of an answer that is passed on as it arrives.
     *
     * @param from The attempt.
     * @param content The piece.
     */
    void streamed(Attempt from, ByteBuf content) {
        from.silence().progressed();
        relay.send(content);
    }

    /**
     * Takes the end of an answer that was passed on as it arrived.
     *
     * @param from The attempt.
     */
    void streamCompleted(Attempt from) {
        routed.suspicion().ranWhole(context.nowMillis());
        finish().streamCompleted();
    }

    /**
     * Takes a whole answer.
     *
     * @param from The attempt.
     * @param head The head.
     * @param body The body.
     */
    void answered(Attempt from, HttpResponse head, byte[] body) {
        progress.note(Verdict.RAN);
        boolean isServerError = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        boolean isGivenUp =
                isServerError
                        && progress.canGiveUp(
                                Verdict.RAN, true, relay.isStarted(), remainingMillis());
        if (relay.isStarted() || isGivenUp) {
            step(from, "endpoint answered " + head.status());
        } else {
            routed.suspicion().ranWhole(context.nowMillis());
            finish().answered(head, body);
        }
    }

    /**
     * Takes note of an attempt that failed since the connection broke, and goes on.
     *
     * @param from The attempt.
     * @param cause What happened.
     */
    void connectionLost(Attempt from, String cause) {
        int crashes =
                routed.suspicion().crashed(from.endpoint().incarnation(), context.nowMillis());
        if (crashes - progress.sends() >= SUSPICIOUS_CRASHES) {
            progress.suspect();
        }
        failed(from, Verdict.MAY_HAVE_RUN, cause);
    }

    /**
     * Takes note of a failed attempt and goes on.
     *
     * @param from The attempt.
     * @param failed Whether the request may have run.
     * @param cause What happened.
     */
    void failed(Attempt from, Verdict failed, String cause) {
        if (isOver) {
            return;
        }
        progress.note(failed);
        if (!from.isSent()) {
            progress.missed();
        }
        step(from, cause);
    }

    /**
     * Does what follows a failed attempt.
     *
     * @param from The attempt.
     * @param cause What happened.
     */
    private void step(Attempt from, String cause) {
        attempt = null;
        NextStep next = progress.next(from.isSent(), relay.isStarted(), remainingMillis());
        report.attemptFailed(from.endpoint(), cause, progress, next);
        switch (next) {
            case REPEAT, RESUME -> {
                relay.dropPartialEvent();
                place();
            }
            case REFUSE ->
                    finish().refused(
                                    from.isSent() ? RefusalReason.SHED : RefusalReason.UNREACHABLE,
                                    remainingMillis());
            case FAIL -> finish().failed(cause);
            case CUT -> finish().cut(cause);
        }
    }

    /** Ends a request whose time is over. */
    private void expire() {
        if (isOver) {
            return;
        }
        Attempt running = attempt;
        if (running != null) {
            if (running.isSent()) {
                progress.note(Verdict.MAY_HAVE_RUN);
            }
            running.cancel();
        }
        if (relay.isStarted()) {
            finish().cut("deadline passed");
        } else if (progress.verdict() == Verdict.NOT_RUN) {
            finish().refused(RefusalReason.DEADLINE, remainingMillis());
        } else {
            finish().timedOut();
        }
    }

    /**
     * Goes on elsewhere if the endpoint is out of reach and the request may be repeated.
     *
     * @param zones The zones that are out of reach.
     */
    void leaveZones(Set<String> zones) {
        Attempt running = attempt;
        if (running != null && zones.contains(running.endpoint().zone())) {
            giveUp(
                    running,
                    running::cancel,
                    "zone " + running.endpoint().zone() + " is out of reach");
        }
    }

    /**
     * Goes on elsewhere if an endpoint stays silent and the request may be repeated.
     *
     * @param from The attempt.
     */
    void silent(Attempt from) {
        giveUp(from, from::cancelSilent, "endpoint is silent");
    }

    /**
     * Gives up an attempt if the request can be sent once more.
     *
     * @param running The attempt.
     * @param cancellation Stops the attempt.
     * @param cause Why.
     */
    private void giveUp(Attempt running, Runnable cancellation, String cause) {
        Verdict worst = running.isSent() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        boolean isGivenUp =
                progress.canGiveUp(worst, running.isSent(), relay.isStarted(), remainingMillis());
        if (isGivenUp) {
            cancellation.run();
            failed(running, worst, cause);
        }
    }

    /** Stops work for a caller that left. */
    void callerLeft() {
        if (isOver) {
            return;
        }
        if (attempt != null) {
            attempt.cancel();
        }
        finish().callerLeft();
    }

    /**
     * Takes note of the end of the request.
     *
     * @return Tells the caller.
     */
    private Conclusion finish() {
        isOver = true;
        context.end(this);
        if (timer != null && timer.isActive()) {
            timer.cancel();
        }
        return conclusion;
    }

    /**
     * Returns the time that is left.
     *
     * @return The time in milliseconds, perhaps negative.
     */
    private long remainingMillis() {
        return dueMillis - context.nowMillis();
    }
}
