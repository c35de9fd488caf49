package io.chicorytrestle.gateway.exchange;

import io.activej.reactor.schedule.ScheduledRunnable;
import io.chicorytrestle.core.attempt.NextStep;
import io.chicorytrestle.core.attempt.RefusalReason;
import io.chicorytrestle.core.placement.Placement;
import io.chicorytrestle.core.verdict.Verdict;
import io.chicorytrestle.gateway.front.ResponseSink;
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
    private static final int OTHER_CRASHES_FORBIDDING_RETRY = 1;

    /** What all requests share. */
    private final GatewayContext context;

    /** The request. */
    private final RoutedRequest routed;

    /** Reports decisions. */
    private final RequestReporter report;

    /** Passes the answer on. */
    private final ResponseRelay relay;

    /** Ends the request. */
    private final RequestCompletion completion;

    /** Counts attempts. */
    private final AttemptTracker progress;

    /** The time of arrival in milliseconds. */
    private final long arrivedMillis;

    /** The time in milliseconds by which the answer must be complete. */
    private final long deadlineMillis;

    /** The incarnations that were tried. */
    private final Set<String> triedIncarnations = new HashSet<>();

    /** The attempt under way, or null if there is none. */
    private @Nullable Attempt attempt;

    /** Ends the request when its time is over, or null before the start. */
    private @Nullable ScheduledRunnable deadlineTimer;

    /** Whether the request ended. */
    private boolean isEnded;

    /**
     * Creates a new exchange.
     *
     * @param context What all requests share.
     * @param routed The request.
     * @param caller Receives the answer.
     * @param arrivedMillis The time of arrival in milliseconds.
     */
    Exchange(
            GatewayContext context, RoutedRequest routed, ResponseSink caller, long arrivedMillis) {
        this.context = context;
        this.routed = routed;
        report = new RequestReporter(context, routed, arrivedMillis);
        progress =
                new AttemptTracker(routed.route(), context.budgets().forService(routed.service()));
        relay = new ResponseRelay(caller);
        completion = new RequestCompletion(context, report, progress, relay);
        this.arrivedMillis = arrivedMillis;
        deadlineMillis =
                arrivedMillis
                        + Math.min(
                                routed.route().timeoutMillis(),
                                routed.request().deadlineMillis().orElse(Long.MAX_VALUE));
    }

    /** Starts to serve the request. */
    void start() {
        context.register(this);
        deadlineTimer =
                context.reactor().delayBackground(Math.max(1, remainingMillis()), this::onDeadline);
        placeRequest();
    }

    /** Chooses an endpoint and sends the request there. */
    private void placeRequest() {
        Optional<Placement> chosen =
                context.picker()
                        .pick(
                                context.endpoints(),
                                routed.service(),
                                routed.prompt(),
                                triedIncarnations,
                                context.nowMillis());
        if (chosen.isEmpty()) {
            if (relay.isStarted()) {
                end().abort("no other endpoint is left");
            } else if (progress.verdict() == Verdict.NOT_RUN) {
                end().refuse(
                                triedIncarnations.isEmpty()
                                        ? RefusalReason.NO_ENDPOINT
                                        : RefusalReason.UNREACHABLE,
                                remainingMillis());
            } else {
                end().fail("no other endpoint is left");
            }
            return;
        }
        Placement placement = chosen.get();
        triedIncarnations.add(placement.endpoint().incarnation());
        report.reportPlacement(placement, remainingMillis());
        Attempt begun = new Attempt(context, this, placement, routed.route());
        attempt = begun;
        begun.progressMonitor().begin(remainingMillis());
        begun.begin(
                () ->
                        routed.requestBuilder()
                                .build(
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
    void onSent(Attempt from) {
        progress.recordSend();
        routed.request()
                .prompt()
                .ifPresent(
                        prompt ->
                                context.promptHolders()
                                        .recordRead(prompt, from.endpoint(), context.nowMillis()));
    }

    /**
     * Returns the caller.
     *
     * @return The caller.
     */
    ResponseSink caller() {
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
    void onStreamStarted(Attempt from, HttpResponse head) {
        progress.recordVerdict(Verdict.RAN);
        if (!relay.isStarted()) {
            context.metrics()
                    .histogram("answer_start_ms")
                    .update(context.nowMillis() - arrivedMillis);
            relay.start(head, isStream());
        }
        from.progressMonitor().recordProgress();
    }

    /**
     * Takes a piece of an answer that is passed on as it arrives.
     *
     * @param from The attempt.
     * @param content The piece.
     */
    void onStreamContent(Attempt from, ByteBuf content) {
        from.progressMonitor().recordProgress();
        relay.send(content);
    }

    /**
     * Takes the end of an answer that was passed on as it arrived.
     *
     * @param from The attempt.
     */
    void onStreamCompleted(Attempt from) {
        routed.crashHistory().recordSuccess(context.nowMillis());
        end().completeStream();
    }

    /**
     * Takes a whole answer.
     *
     * @param from The attempt.
     * @param head The head.
     * @param body The body.
     */
    void onResponse(Attempt from, HttpResponse head, byte[] body) {
        progress.recordVerdict(Verdict.RAN);
        boolean isServerError = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        boolean isGivenUp =
                isServerError
                        && progress.tryAbandonAttempt(
                                Verdict.RAN, true, relay.isStarted(), remainingMillis());
        if (relay.isStarted() || isGivenUp) {
            continueAfterFailure(from, "endpoint answered " + head.status());
        } else {
            routed.crashHistory().recordSuccess(context.nowMillis());
            end().complete(head, body);
        }
    }

    /**
     * Takes note of an attempt that failed since the connection broke, and goes on.
     *
     * @param from The attempt.
     * @param cause What happened.
     */
    void onConnectionLost(Attempt from, String cause) {
        int crashes =
                routed.crashHistory()
                        .recordCrash(from.endpoint().incarnation(), context.nowMillis());
        if (crashes - progress.sends() >= OTHER_CRASHES_FORBIDDING_RETRY) {
            progress.forbidRetries();
        }
        onAttemptFailed(from, Verdict.MAY_HAVE_RUN, cause);
    }

    /**
     * Takes note of a failed attempt and goes on.
     *
     * @param from The attempt.
     * @param failed Whether the request may have run.
     * @param cause What happened.
     */
    void onAttemptFailed(Attempt from, Verdict failed, String cause) {
        if (isEnded) {
            return;
        }
        progress.recordVerdict(failed);
        if (!from.isSent()) {
            progress.failedConnects();
        }
        continueAfterFailure(from, cause);
    }

    /**
     * Does what follows a failed attempt.
     *
     * @param from The attempt.
     * @param cause What happened.
     */
    private void continueAfterFailure(Attempt from, String cause) {
        attempt = null;
        NextStep next = progress.nextStep(from.isSent(), relay.isStarted(), remainingMillis());
        report.reportFailedAttempt(from.endpoint(), cause, progress, next);
        switch (next) {
            case REPEAT, RESUME -> {
                relay.dropPartialEvent();
                placeRequest();
            }
            case REFUSE ->
                    end().refuse(
                                    from.isSent() ? RefusalReason.SHED : RefusalReason.UNREACHABLE,
                                    remainingMillis());
            case FAIL -> end().fail(cause);
            case CUT -> end().abort(cause);
        }
    }

    /** Ends a request whose time is over. */
    private void onDeadline() {
        if (isEnded) {
            return;
        }
        Attempt running = attempt;
        if (running != null) {
            if (running.isSent()) {
                progress.recordVerdict(Verdict.MAY_HAVE_RUN);
            }
            running.cancel();
        }
        if (relay.isStarted()) {
            end().abort("deadline passed");
        } else if (progress.verdict() == Verdict.NOT_RUN) {
            end().refuse(RefusalReason.DEADLINE, remainingMillis());
        } else {
            end().timeOut();
        }
    }

    /**
     * Goes on elsewhere if the endpoint is out of reach and the request may be repeated.
     *
     * @param zones The zones that are out of reach.
     */
    void abandonZones(Set<String> zones) {
        Attempt running = attempt;
        if (running != null && zones.contains(running.endpoint().zone())) {
            abandonIfRetryable(
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
    void onResponseTimeout(Attempt from) {
        abandonIfRetryable(from, from::cancelTimedOut, "endpoint is silent");
    }

    /**
     * Gives up an attempt if the request can be sent once more.
     *
     * @param running The attempt.
     * @param cancellation Stops the attempt.
     * @param cause Why.
     */
    private void abandonIfRetryable(Attempt running, Runnable cancellation, String cause) {
        Verdict worst = running.isSent() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        boolean isGivenUp =
                progress.tryAbandonAttempt(
                        worst, running.isSent(), relay.isStarted(), remainingMillis());
        if (isGivenUp) {
            cancellation.run();
            onAttemptFailed(running, worst, cause);
        }
    }

    /** Stops work for a caller that left. */
    void onCallerDisconnected() {
        if (isEnded) {
            return;
        }
        if (attempt != null) {
            attempt.cancel();
        }
        end().recordCallerDisconnect();
    }

    /**
     * Takes note of the end of the request.
     *
     * @return Tells the caller.
     */
    private RequestCompletion end() {
        isEnded = true;
        context.unregister(this);
        if (deadlineTimer != null && deadlineTimer.isActive()) {
            deadlineTimer.cancel();
        }
        return completion;
    }

    /**
     * Returns the time that is left.
     *
     * @return The time in milliseconds, perhaps negative.
     */
    private long remainingMillis() {
        return deadlineMillis - context.nowMillis();
    }
}
