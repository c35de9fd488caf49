package io.chicorytrestle.gateway.exchange;

import io.activej.reactor.schedule.ScheduledRunnable;
import io.chicorytrestle.core.attempt.AttemptState;
import io.chicorytrestle.core.attempt.NextStep;
import io.chicorytrestle.core.attempt.RefusalReason;
import io.chicorytrestle.core.placement.Placement;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.core.stream.StreamOrigin;
import io.chicorytrestle.core.verdict.Verdict;
import io.chicorytrestle.gateway.front.ResponseSink;
import io.chicorytrestle.gateway.link.BodyFraming;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Handles one request from its arrival to the end of its response: places it on an endpoint, sends
 * it, and after a failed attempt repeats, resumes, refuses or fails it. It is confined to the event
 * loop's thread.
 */
final class Exchange {

    /**
     * The number of crashes under the same request content, besides those of this request's own
     * attempts, that forbids retries.
     */
    private static final int OTHER_CRASHES_FORBIDDING_RETRY = 1;

    /** The state that all requests share. */
    private final GatewayContext context;

    /** The request, its route and its service. */
    private final RoutedRequest routed;

    /** Logs and counts the decisions. */
    private final RequestReporter reporter;

    /** Forwards the response to the caller. */
    private final ResponseRelay relay;

    /** Reports the result and sends the end of the response. */
    private final RequestCompletion completion;

    /** Counts the attempts and decides on retries. */
    private final AttemptTracker attempts;

    /** The time of arrival in milliseconds. */
    private final long arrivedMillis;

    /** The time in milliseconds by which the response must be complete. */
    private final long deadlineMillis;

    /** Which endpoints may continue the stream. */
    private final StreamVersion streamVersion;

    /** The incarnations of the endpoints that were chosen so far; none is chosen twice. */
    private final Set<String> triedIncarnations = new HashSet<>();

    /** The current attempt, or null if there is none. */
    private @Nullable Attempt attempt;

    /** Ends the request at its deadline, or null before the start. */
    private @Nullable ScheduledRunnable deadlineTimer;

    /** Whether the request ended. */
    private boolean isEnded;

    /**
     * Creates an exchange; {@link #start} begins it.
     *
     * @param context The state that all requests share.
     * @param routed The request, its route and its service.
     * @param caller Receives the response.
     * @param arrivedMillis The time of arrival in milliseconds.
     */
    Exchange(
            GatewayContext context, RoutedRequest routed, ResponseSink caller, long arrivedMillis) {
        this.context = context;
        this.routed = routed;
        streamVersion = new StreamVersion(routed.origin().map(StreamOrigin::version));
        relay = new ResponseRelay(caller);
        if (routed.route().repeatability().allowsResume()) {
            routed.request().lastEventId().ifPresent(relay::resumeAfter);
        }
        reporter = new RequestReporter(context, routed, relay, arrivedMillis);
        attempts =
                new AttemptTracker(routed.route(), context.budgets().forService(routed.service()));
        completion = new RequestCompletion(context, reporter, attempts, relay);
        this.arrivedMillis = arrivedMillis;
        deadlineMillis = routed.deadlineMillis(arrivedMillis);
    }

    /** Registers the request, starts its deadline timer and makes the first attempt. */
    void start() {
        context.register(this);
        deadlineTimer =
                context.reactor().delayBackground(Math.max(1, remainingMillis()), this::onDeadline);
        startAttempt();
    }

    /**
     * Chooses an endpoint that was not tried yet and starts an attempt, or ends the request if none
     * is left.
     */
    private void startAttempt() {
        if (!hasTimeToSend() && attempts.sends() == 0) {
            end().refuse(RefusalReason.DEADLINE, 0, remainingMillis());
            return;
        }
        Predicate<ServingEndpoint> isOpen =
                context.coldStarts().openEndpoints(routed.service(), context.nowMillis());
        Optional<Placement> chosen =
                context.picker()
                        .pick(
                                routed.usable(context.endpoints()),
                                routed.service(),
                                routed.prompt(),
                                endpoint ->
                                        !triedIncarnations.contains(endpoint.incarnation())
                                                && streamVersion.allows(endpoint)
                                                && isOpen.test(endpoint),
                                context.nowMillis());
        if (chosen.isEmpty()) {
            if (relay.isStarted()) {
                end().abort("no other endpoint is left");
            } else if (attempts.verdict() == Verdict.NOT_RUN) {
                refuse(
                        routed.reasonWithoutEndpoint(
                                context.endpoints(), !triedIncarnations.isEmpty()));
            } else {
                end().fail("no other endpoint is left");
            }
            return;
        }
        Placement placement = chosen.get();
        triedIncarnations.add(placement.endpoint().incarnation());
        context.backoffs().recordPlacement(placement.endpoint().incarnation(), context.nowMillis());
        reporter.reportPlacement(placement, remainingMillis());
        Attempt newAttempt = new Attempt(context, this, placement, routed.route());
        attempt = newAttempt;
        newAttempt.progressMonitor().begin(remainingMillis());
        newAttempt.begin(
                () ->
                        routed.requestBuilder()
                                .build(
                                        placement,
                                        Math.max(1, remainingMillis()),
                                        relay.lastEventId().or(routed.request()::lastEventId)),
                routed.request().id());
    }

    /**
     * Records that the request was written, and that the endpoint reads its prompt.
     *
     * @param from The attempt that wrote the request.
     */
    void onSent(Attempt from) {
        attempts.recordSend();
        routed.request()
                .prompt()
                .ifPresent(
                        prompt ->
                                context.promptHolders()
                                        .recordRead(prompt, from.endpoint(), context.nowMillis()));
    }

    /**
     * Returns the receiver of the response.
     *
     * @return The receiver, which also tells whether the caller reads too slowly.
     */
    ResponseSink caller() {
        return relay.caller();
    }

    /**
     * Returns {@code true} if the route's responses are event streams.
     *
     * @return {@code true} if the route's responses are event streams.
     */
    boolean isStream() {
        return routed.route().repeatability().isStream();
    }

    /**
     * Returns {@code true} if a part of a response was forwarded, which an attempt can only
     * continue.
     *
     * @return {@code true} if the head of an earlier attempt was forwarded.
     */
    boolean isResponseStarted() {
        return relay.isStarted();
    }

    /**
     * Reports the head of an endpoint's response.
     *
     * @param framing How the response declares the end of its body.
     */
    void onHead(BodyFraming framing) {
        reporter.reportResponse(framing);
    }

    /**
     * Forwards the head of a response whose body is forwarded as it arrives, unless a previous
     * attempt already sent one.
     *
     * @param from The attempt that receives the response.
     * @param head The head.
     */
    void onStreamStarted(Attempt from, HttpResponse head) {
        attempts.recordVerdict(Verdict.RAN);
        if (!relay.isStarted()) {
            context.metrics()
                    .histogram("answer_start_ms")
                    .update(context.nowMillis() - arrivedMillis);
            boolean isSuccess = head.status().codeClass() == HttpStatusClass.SUCCESS;
            relay.start(head, isStream() && isSuccess);
        }
        from.progressMonitor().recordProgress();
    }

    /**
     * Forwards a part of the body. Only what reaches the caller counts as progress: bytes that
     * complete no event must not keep a stalled stream alive.
     *
     * @param from The attempt that receives the response.
     * @param content The part.
     */
    void onStreamContent(Attempt from, ByteBuf content) {
        if (relay.send(content)) {
            from.progressMonitor().recordProgress();
            if (relay.hasEvents() && streamVersion.recordEvent(from.endpoint())) {
                context.streams().recordBegun(routed, from.endpoint().version());
            }
            if (!relay.canResume() || !streamVersion.allowsAny()) {
                attempts.forbidRetries();
            }
        } else if (relay.discontinuity().isPresent()) {
            from.rejectResponse(relay.discontinuity().get().description());
            return;
        }
        if (relay.isEventTooLarge()) {
            from.rejectResponse(
                    "event is larger than " + EventStreamSplitter.MAXIMUM_EVENT_BYTES + " bytes");
        }
    }

    /**
     * Returns {@code true} if a response can be forwarded, as far as its head tells.
     *
     * @param head The head of a successful response to a streaming request.
     * @return {@code true} if it is the first one or can continue the one that was begun.
     */
    boolean isAcceptableStream(HttpResponse head) {
        return !relay.isStarted() || relay.isContinuedBy(head);
    }

    /**
     * Returns {@code true} if a response that ends now cannot be complete.
     *
     * @param framing How the response declares the end of its body.
     * @return {@code true} if it is an event stream that was broken off.
     */
    boolean isBrokenOff(BodyFraming framing) {
        return relay.isBrokenOff(framing);
    }

    /**
     * Completes a response that was forwarded as it arrived.
     *
     * @param from The attempt that received the response.
     * @param head The head, which may state a failure with a large body.
     */
    void onStreamCompleted(Attempt from, HttpResponse head) {
        boolean isSuccess = head.status().codeClass() == HttpStatusClass.SUCCESS;
        routed.crashHistory().recordResponse(isSuccess, context.nowMillis());
        end().completeStream();
    }

    /**
     * Forwards a complete response, or makes another attempt after a server error if the request
     * may be repeated.
     *
     * @param from The attempt that received the response.
     * @param head The head.
     * @param body The complete body.
     */
    void onResponse(Attempt from, HttpResponse head, byte[] body) {
        attempts.recordVerdict(Verdict.RAN);
        boolean isServerError = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        boolean isAbandoned =
                isServerError
                        && attempts.tryAbandonAttempt(
                                Verdict.RAN, true, relay.isStarted(), remainingMillis());
        if (relay.isStarted() || isAbandoned) {
            continueAfterFailure(from, "endpoint responded with " + head.status());
        } else {
            boolean isSuccess = head.status().codeClass() == HttpStatusClass.SUCCESS;
            routed.crashHistory().recordResponse(isSuccess, context.nowMillis());
            end().complete(head, body);
        }
    }

    /**
     * Records an attempt whose connection was lost, which may mean that the endpoint crashed, and
     * continues.
     *
     * @param from The attempt.
     * @param cause The failure of the connection.
     */
    void onConnectionLost(Attempt from, String cause) {
        int crashes =
                routed.crashHistory()
                        .recordCrash(from.endpoint().incarnation(), context.nowMillis());
        if (crashes - attempts.sends() >= OTHER_CRASHES_FORBIDDING_RETRY
                || routed.crashHistory().quarantinedPart(context.nowMillis()).isPresent()) {
            attempts.forbidRetries();
        }
        onAttemptFailed(from, Verdict.MAY_HAVE_RUN, cause);
    }

    /**
     * Records a failed attempt and continues. Does nothing if the request has ended.
     *
     * @param from The attempt.
     * @param attemptVerdict Whether this attempt may have run the request.
     * @param cause Why the attempt failed.
     */
    void onAttemptFailed(Attempt from, Verdict attemptVerdict, String cause) {
        if (isEnded) {
            return;
        }
        attempts.recordVerdict(attemptVerdict);
        if (!from.isSent()) {
            attempts.recordFailedConnect();
        }
        continueAfterFailure(from, cause);
    }

    /**
     * Takes the next step after a failed attempt.
     *
     * @param from The attempt.
     * @param cause Why the attempt failed.
     */
    private void continueAfterFailure(Attempt from, String cause) {
        attempt = null;
        NextStep next = attempts.nextStep(from.isSent(), relay.isStarted(), remainingMillis());
        reporter.reportFailedAttempt(from.endpoint(), cause, attempts, next);
        switch (next) {
            case REPEAT, RESUME -> {
                relay.resume();
                startAttempt();
            }
            case REFUSE -> refuse(from.isSent() ? RefusalReason.SHED : RefusalReason.UNREACHABLE);
            case FAIL -> end().fail(cause);
            case CUT -> end().abort(cause);
        }
    }

    /**
     * Refuses a request that has not run.
     *
     * @param reason Why, unless all endpoints that it could be sent to are backed off or cold.
     */
    private void refuse(RefusalReason reason) {
        end().refuse(
                        reason,
                        streamVersion.allowed(
                                routed.usable(context.endpoints()).endpointsOf(routed.service())),
                        remainingMillis());
    }

    /**
     * Reports that the endpoint of an attempt wants no requests for some time.
     *
     * @param from The attempt.
     * @param backoffMillis That time in milliseconds.
     */
    void onBackoff(Attempt from, long backoffMillis) {
        reporter.reportBackoff(from.endpoint(), backoffMillis);
    }

    /** Ends the request at its deadline. */
    private void onDeadline() {
        if (isEnded) {
            return;
        }
        Attempt running = attempt;
        if (running != null) {
            if (running.isSent()) {
                attempts.recordVerdict(Verdict.MAY_HAVE_RUN);
            }
            running.cancel();
        }
        if (relay.isStarted()) {
            end().abort("deadline passed");
        } else if (attempts.verdict() == Verdict.NOT_RUN) {
            end().refuse(RefusalReason.DEADLINE, 0, remainingMillis());
        } else {
            end().timeOut();
        }
    }

    /**
     * Moves the request to another endpoint if its current one is in an unreachable zone and the
     * request may be repeated.
     *
     * @param zones The unreachable zones.
     */
    void abandonZones(Set<String> zones) {
        Attempt running = attempt;
        if (running != null && zones.contains(running.endpoint().zone())) {
            abandonIfRetryable(
                    running,
                    running::cancel,
                    "zone " + running.endpoint().zone() + " is unreachable");
        }
    }

    /**
     * Moves the request to another endpoint if the current one sends no response, or no more of a
     * stream, in time and the request may be repeated.
     *
     * @param from The attempt.
     */
    void onResponseTimeout(Attempt from) {
        abandonIfRetryable(from, from::cancelTimedOut, "endpoint is silent");
    }

    /**
     * Cancels an attempt and continues, if the request may be sent once more.
     *
     * @param running The attempt.
     * @param cancellation Cancels the attempt.
     * @param cause Why the attempt is abandoned.
     */
    private void abandonIfRetryable(Attempt running, Runnable cancellation, String cause) {
        Verdict worstVerdict = running.isSent() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        boolean isAbandoned =
                attempts.tryAbandonAttempt(
                        worstVerdict, running.isSent(), relay.isStarted(), remainingMillis());
        if (isAbandoned) {
            cancellation.run();
            onAttemptFailed(running, worstVerdict, cause);
        }
    }

    /** Cancels the attempt after the caller disconnected. */
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
     * Marks the request as ended and cancels its deadline timer.
     *
     * @return Sends the end of the response.
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
     * Returns {@code true} if an endpoint that receives the request now can still answer in time.
     *
     * @return {@code true} if the deadline is not imminent.
     */
    boolean hasTimeToSend() {
        return remainingMillis() > AttemptState.MINIMUM_REMAINING_MILLIS;
    }

    /**
     * Returns the time until the deadline.
     *
     * @return The time in milliseconds, negative after the deadline.
     */
    private long remainingMillis() {
        return deadlineMillis - context.nowMillis();
    }
}
