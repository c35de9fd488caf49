package io.chicorytrestle.core.call;

import com.google.common.hash.Hashing;
import io.chicorytrestle.core.blackboard.Controller;
import io.chicorytrestle.core.endpoint.ServiceResponse;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.peer.PeerHandlerRegistry;
import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.retry.RetryPolicy;
import io.chicorytrestle.core.ticket.Ledger;
import io.chicorytrestle.core.ticket.LedgerRecord;
import io.chicorytrestle.core.ticket.Ticket;
import io.chicorytrestle.core.ticket.TicketCodec;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.Failures;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Executes a ticket's call only in the incarnation of the entry instance that issued the ticket,
 * which makes at-most-once execution a local decision of that instance's ledger. Other instances
 * forward the call to it.
 */
public final class TicketCallCoordinator implements CallCoordinator, Controller {

    /** The dependencies of the coordinator. */
    private final CallEnvironment environment;

    /** Encodes and authenticates tickets. */
    private final TicketCodec codec;

    /** Holds the state of the tickets that this incarnation issued. */
    private final Ledger ledger;

    /** The settings. */
    private final CallSettings settings;

    /** Executes the calls that need no forwarding. */
    private final RetryingCallExecutor executor;

    /** Forwards calls and queries of tickets that other instances issued. */
    private final TicketForwarder forwarder;

    /** Holds the ledgers that stopped instances handed over. */
    private final HandedOverLedgers handedOverLedgers;

    /** The number of the ticket issued last, zero if none was issued. */
    private final AtomicLong lastTicketNumber = new AtomicLong();

    /**
     * Creates a new coordinator.
     *
     * @param environment The dependencies of the coordinator.
     * @param codec Encodes and authenticates tickets.
     * @param ledger Holds the state of the tickets that this incarnation issued.
     * @param retryPolicy Decides whether a failed attempt is retried.
     * @param settings The settings.
     */
    public TicketCallCoordinator(
            CallEnvironment environment,
            TicketCodec codec,
            Ledger ledger,
            RetryPolicy retryPolicy,
            CallSettings settings) {
        this.environment = environment;
        this.codec = codec;
        this.ledger = ledger;
        this.settings = settings;
        executor =
                new RetryingCallExecutor(
                        environment.blackboard(),
                        environment.dispatcher(),
                        environment.services(),
                        retryPolicy,
                        environment.clock());
        handedOverLedgers = new HandedOverLedgers(settings);
        forwarder = new TicketForwarder(environment, settings);
    }

    /**
     * Registers the handlers of the messages in {@link CallMessages}.
     *
     * @param registry The registry of the peer channel.
     */
    public void register(PeerHandlerRegistry registry) {
        registry.register(
                CallMessages.ForwardRequest.class,
                (sender, message, nowMillis) -> handleForwardRequest(message, nowMillis));
        registry.register(
                CallMessages.LedgerPart.class,
                (sender, message, nowMillis) -> handedOverLedgers.accept(message, nowMillis));
        registry.register(
                CallMessages.StatusQuery.class,
                (sender, message, nowMillis) -> handleStatusQuery(message, nowMillis));
    }

    @Override
    public String issueTicket(String workspace, long nowMillis) throws RequestFailureException {
        if (!ledger.hasCapacity(nowMillis)) {
            throw RequestFailureException.notRun(
                    FailureCode.UNAVAILABLE, "Cannot issue ticket: the ledger is full or closed");
        }
        return codec.encode(
                new Ticket(
                        environment.self(),
                        workspace,
                        lastTicketNumber.incrementAndGet(),
                        nowMillis + settings.ticketLifetimeMillis()));
    }

    @Override
    public CompletableFuture<CallOutcome> call(ServiceCall call, long nowMillis) {
        if (call.ticket().isPresent()) {
            return callWithTicket(call, call.ticket().get(), nowMillis);
        }
        boolean keysChecked = settings.idempotencyKeyPools().contains(call.pool());
        if (call.idempotencyKey().isPresent() && !keysChecked && !call.idempotent()) {
            return CompletableFuture.failedFuture(
                    RequestFailureException.notRun(
                            FailureCode.INVALID_REQUEST,
                            "Cannot promise one execution by key alone, use a ticket: pool "
                                    + call.pool()));
        }
        boolean retryable = call.idempotent() || call.idempotencyKey().isPresent();
        return executor.execute(call, retryable, environment.writeGate(), nowMillis)
                .thenApply(response -> new CallOutcome(response.status(), response.body(), false));
    }

    @Override
    public CompletableFuture<CallStatus> status(String workspace, String ticket, long nowMillis) {
        Ticket decoded;
        try {
            decoded = codec.decode(ticket, workspace);
        } catch (RequestFailureException failure) {
            return CompletableFuture.failedFuture(failure);
        }
        return localStatus(decoded, nowMillis)
                .map(CompletableFuture::completedFuture)
                .orElseGet(() -> forwarder.status(workspace, ticket, decoded, nowMillis));
    }

    /**
     * Stops issuing tickets and accepting new calls with tickets of this incarnation. Calls in
     * flight continue.
     */
    public void close() {
        ledger.close();
    }

    /**
     * Returns the number of calls with tickets of this incarnation that are in flight.
     *
     * @return The number of calls.
     */
    public int inFlight() {
        return ledger.claimCount();
    }

    /**
     * Seals the ledger, so that no further call starts, and hands over all stored outcomes to
     * successors, which serve this incarnation's tickets from then on.
     *
     * @param nowMillis The current time in milliseconds.
     * @return A future that completes when the successors hold the outcomes or no further one can
     *     be reached.
     */
    public CompletableFuture<Void> handOver(long nowMillis) {
        List<LedgerRecord> records = ledger.seal();
        InstanceIdentity self = environment.self();
        CompletableFuture<?> ownHandover =
                lastTicketNumber.get() == 0
                        ? CompletableFuture.completedFuture(null)
                        : forwarder.handOver(self.name(), self.incarnation(), records);
        return CompletableFuture.allOf(
                Stream.concat(
                                Stream.of(ownHandover),
                                handedOverLedgers.handOver(forwarder, nowMillis))
                        .toArray(CompletableFuture<?>[]::new));
    }

    /**
     * Removes expired records and ledgers.
     *
     * @param nowMillis The current time in milliseconds.
     */
    @Override
    public void step(long nowMillis) {
        ledger.removeExpired(nowMillis);
        handedOverLedgers.removeExpired(nowMillis);
    }

    /**
     * Executes a call with a ticket, locally or by forwarding it.
     *
     * @param call The call.
     * @param encoded The encoded ticket.
     * @param nowMillis The current time in milliseconds.
     * @return The outcome.
     */
    private CompletableFuture<CallOutcome> callWithTicket(
            ServiceCall call, String encoded, long nowMillis) {
        Ticket ticket;
        try {
            ticket = codec.decode(encoded, call.workspace());
        } catch (RequestFailureException failure) {
            return CompletableFuture.failedFuture(failure);
        }
        return callLocally(call, ticket, nowMillis)
                .orElseGet(() -> forwarder.call(call, ticket, nowMillis));
    }

    /**
     * Executes or replays a call if this instance holds the ledger of its ticket.
     *
     * @param call The call.
     * @param ticket The ticket.
     * @param nowMillis The current time in milliseconds.
     * @return The outcome, or empty if this instance doesn't hold the state of the ticket.
     */
    private Optional<CompletableFuture<CallOutcome>> callLocally(
            ServiceCall call, Ticket ticket, long nowMillis) {
        if (ticket.issuer().equals(environment.self())) {
            return Optional.of(callWithOwnTicket(call, ticket, nowMillis));
        }
        return handedOverLedgers
                .lookUp(ticket, nowMillis)
                .map(lookup -> replay(lookup, hash(call)));
    }

    /**
     * Executes or replays a call whose ticket this incarnation issued.
     *
     * @param call The call.
     * @param ticket The ticket.
     * @param nowMillis The current time in milliseconds.
     * @return The outcome.
     */
    private CompletableFuture<CallOutcome> callWithOwnTicket(
            ServiceCall call, Ticket ticket, long nowMillis) {
        String callHash = hash(call);
        Ledger.Claim claim;
        try {
            claim = ledger.claim(ticket, callHash, nowMillis);
        } catch (RequestFailureException failure) {
            return CompletableFuture.failedFuture(failure);
        }
        if (claim.mustExecute()) {
            executor.execute(call, false, now -> tryStart(ticket, now), nowMillis)
                    .whenComplete(
                            (response, thrown) -> endClaim(ticket, callHash, response, thrown));
        }
        return claim.completion().thenCompose(record -> outcome(record, !claim.mustExecute()));
    }

    /**
     * Marks a ticket's call as started if it may start. Called immediately before the first byte is
     * written.
     *
     * @param ticket The ticket.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the call was marked as started.
     */
    private boolean tryStart(Ticket ticket, long nowMillis) {
        return environment.writeGate().test(nowMillis) && ledger.start(ticket, nowMillis);
    }

    /**
     * Ends the claim of a ticket's call: stores the outcome, records that it is in doubt, or
     * releases the ticket if the call certainly didn't run.
     *
     * @param ticket The ticket.
     * @param callHash The hash of the call's pool, operation and body.
     * @param response The complete response, or {@code null} if the call failed.
     * @param thrown The failure, or {@code null} if the call succeeded.
     */
    private void endClaim(
            Ticket ticket, String callHash, @Nullable ServiceResponse response, Throwable thrown) {
        if (response != null) {
            ledger.finish(
                    LedgerRecord.executed(ticket, callHash, response.status(), response.body()));
            return;
        }
        RequestFailureException failure = Failures.of(thrown);
        boolean started =
                ledger.lookUp(ticket, environment.clock().getAsLong()).state()
                        == Ledger.State.STARTED;
        if (failure.verdict() == Verdict.NOT_RUN || !started) {
            ledger.release(
                    ticket,
                    RequestFailureException.notRun(failure.code(), failure.message())
                            .withRetryAfterMillis(failure.retryAfterMillis()));
        } else {
            ledger.finish(LedgerRecord.inDoubt(ticket, callHash));
        }
    }

    /**
     * Replays the outcome of a call from the ledger of a stopped instance.
     *
     * @param lookup The state and record of the ticket.
     * @param callHash The hash of the call's pool, operation and body.
     * @return The outcome.
     */
    private static CompletableFuture<CallOutcome> replay(
            Ledger.LookupResult lookup, String callHash) {
        if (lookup.record().isEmpty()) {
            return CompletableFuture.failedFuture(
                    RequestFailureException.notRun(
                            FailureCode.TICKET_REFUSED,
                            "Cannot start call: the ticket's issuer stopped, use a new ticket"));
        }
        LedgerRecord record = lookup.record().get();
        return record.callHash().equals(callHash)
                ? outcome(record, true)
                : CompletableFuture.failedFuture(
                        RequestFailureException.notRun(
                                FailureCode.TICKET_REFUSED,
                                "Cannot use ticket: it was used for another call"));
    }

    /**
     * Returns the outcome that a record holds, or the failure that says why there is none.
     *
     * @param record The record.
     * @param replayed {@code true} if the outcome was stored by an earlier call.
     * @return The outcome.
     */
    private static CompletableFuture<CallOutcome> outcome(LedgerRecord record, boolean replayed) {
        if (record.outcomeStored()) {
            return CompletableFuture.completedFuture(
                    new CallOutcome(record.status(), record.body(), replayed));
        }
        return CompletableFuture.failedFuture(
                record.verdict() == Verdict.RAN
                        ? new RequestFailureException(
                                FailureCode.TOO_LARGE,
                                Verdict.RAN,
                                "Cannot replay outcome: it was too large to keep",
                                RequestFailureException.NO_RETRY_ADVICE)
                        : RequestFailureException.mayHaveRun(
                                FailureCode.ENDPOINT_FAILED,
                                "Cannot tell outcome: the endpoint failed during the call"));
    }

    /**
     * Returns the status of a ticket if this instance holds its ledger.
     *
     * @param ticket The ticket.
     * @param nowMillis The current time in milliseconds.
     * @return The status, or empty if this instance doesn't hold the state of the ticket.
     */
    private Optional<CallStatus> localStatus(Ticket ticket, long nowMillis) {
        return ticket.issuer().equals(environment.self())
                ? Optional.of(status(ledger.lookUp(ticket, nowMillis)))
                : handedOverLedgers.lookUp(ticket, nowMillis).map(TicketCallCoordinator::status);
    }

    /**
     * Converts the result of a ledger look-up to a status.
     *
     * @param lookup The state and record of the ticket.
     * @return The status.
     */
    private static CallStatus status(Ledger.LookupResult lookup) {
        return switch (lookup.state()) {
            case OPEN, CLAIMED -> new CallStatus(Verdict.NOT_RUN, false, Optional.empty());
            case NEVER_RUN -> new CallStatus(Verdict.NOT_RUN, true, Optional.empty());
            case STARTED -> new CallStatus(Verdict.MAY_HAVE_RUN, false, Optional.empty());
            case EVICTED -> new CallStatus(Verdict.MAY_HAVE_RUN, true, Optional.empty());
            case ENDED -> status(lookup.record().orElseThrow());
        };
    }

    /**
     * Converts a record to a status, which is final.
     *
     * @param record The record.
     * @return The status.
     */
    private static CallStatus status(LedgerRecord record) {
        return new CallStatus(
                record.verdict(),
                true,
                record.outcomeStored()
                        ? Optional.of(new CallOutcome(record.status(), record.body(), true))
                        : Optional.empty());
    }

    /**
     * Handles a call that another instance forwarded.
     *
     * @param message The message.
     * @param nowMillis The current time in milliseconds.
     * @return The reply.
     */
    private CompletableFuture<PeerMessage> handleForwardRequest(
            CallMessages.ForwardRequest message, long nowMillis) {
        ServiceCall call = message.toServiceCall();
        Optional<CompletableFuture<CallOutcome>> outcome;
        try {
            outcome =
                    callLocally(call, codec.decode(message.ticket(), call.workspace()), nowMillis);
        } catch (RequestFailureException failure) {
            return CompletableFuture.completedFuture(CallMessages.ForwardReply.of(failure));
        }
        return outcome.map(TicketCallCoordinator::toReply)
                .orElseGet(
                        () ->
                                CompletableFuture.completedFuture(
                                        CallMessages.ForwardReply.ISSUER_UNKNOWN));
    }

    /**
     * Converts an outcome or its failure to a reply.
     *
     * @param outcome The outcome.
     * @return The message.
     */
    private static CompletableFuture<PeerMessage> toReply(CompletableFuture<CallOutcome> outcome) {
        return outcome.handle(
                (completed, thrown) ->
                        completed != null
                                ? CallMessages.ForwardReply.of(completed)
                                : CallMessages.ForwardReply.of(Failures.of(thrown)));
    }

    /**
     * Handles a status query of another instance. A ticket that is refused gets the same reply as
     * one of an unknown issuer.
     *
     * @param message The message.
     * @param nowMillis The current time in milliseconds.
     * @return The reply.
     */
    private CompletableFuture<PeerMessage> handleStatusQuery(
            CallMessages.StatusQuery message, long nowMillis) {
        Optional<CallStatus> known;
        try {
            known = localStatus(codec.decode(message.ticket(), message.workspace()), nowMillis);
        } catch (RequestFailureException failure) {
            known = Optional.empty();
        }
        return CompletableFuture.completedFuture(
                known.map(CallMessages.StatusReply::of)
                        .orElse(CallMessages.StatusReply.ISSUER_UNKNOWN));
    }

    /**
     * Returns the hash of a call's content, by which the reuse of a ticket for another call is
     * detected. Zero bytes separate the parts.
     *
     * @param call The call.
     * @return The hash as hexadecimal digits.
     */
    private static String hash(ServiceCall call) {
        return Hashing.sha256()
                .newHasher()
                .putString(call.pool(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(call.operation(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(call.body(), StandardCharsets.UTF_8)
                .hash()
                .toString();
    }
}
