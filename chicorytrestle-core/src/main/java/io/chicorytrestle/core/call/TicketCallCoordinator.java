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

/** Executes a ticket's call only in the run of the entry instance that issued the ticket. */
public final class TicketCallCoordinator implements CallCoordinator, Controller {

    /** The parts that the coordinator works with. */
    private final CallEnvironment environment;

    /** Encodes and checks tickets. */
    private final TicketCodec codec;

    /** Keeps the state of this run's tickets. */
    private final Ledger ledger;

    /** The settings. */
    private final CallSettings settings;

    /** Sends the calls. */
    private final RetryingCallExecutor executor;

    /** Reaches the issuers of other instances' tickets. */
    private final TicketForwarder forwarder;

    /** Keeps the ledgers of instances that stopped. */
    private final HandedOverLedgers handedOverLedgers;

    /** The number of the ticket that was issued last. */
    private final AtomicLong lastTicketNumber = new AtomicLong();

    /**
     * Creates a new coordinator.
     *
     * @param environment The parts that the coordinator works with.
     * @param codec Encodes and checks tickets.
     * @param ledger Keeps the state of this run's tickets.
     * @param retries Decides on further attempts.
     * @param settings The settings.
     */
    public TicketCallCoordinator(
            CallEnvironment environment,
            TicketCodec codec,
            Ledger ledger,
            RetryPolicy retries,
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
                        retries,
                        environment.clock());
        handedOverLedgers = new HandedOverLedgers(settings);
        forwarder = new TicketForwarder(environment, settings);
    }

    /**
     * Registers the handlers of other instances' messages.
     *
     * @param registry Takes the handlers.
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
        boolean checked = settings.idempotencyKeyPools().contains(call.pool());
        if (call.idempotencyKey().isPresent() && !checked && !call.idempotent()) {
            return CompletableFuture.failedFuture(
                    RequestFailureException.notRun(
                            FailureCode.INVALID_REQUEST,
                            "Cannot promise one execution by key alone, use a ticket: pool "
                                    + call.pool()));
        }
        boolean repeatable = call.idempotent() || call.idempotencyKey().isPresent();
        return executor.execute(call, repeatable, environment.writeGate(), nowMillis)
                .thenApply(answer -> new CallOutcome(answer.status(), answer.body(), false));
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
     * Refuses to issue tickets and to start calls with tickets of this run; what is in flight goes
     * on.
     */
    public void close() {
        ledger.close();
    }

    /**
     * Returns the number of calls with tickets that are in flight.
     *
     * @return The number of calls with tickets that are in flight.
     */
    public int inFlight() {
        return ledger.claimCount();
    }

    /**
     * Refuses every further start and hands all outcomes to successors, which from then on answer
     * for this run's tickets.
     *
     * @param nowMillis The present time in milliseconds.
     * @return Completed when the successors hold the outcomes, or none can be reached.
     */
    public CompletableFuture<Void> handOver(long nowMillis) {
        List<LedgerRecord> records = ledger.seal();
        InstanceIdentity self = environment.self();
        CompletableFuture<?> own =
                lastTicketNumber.get() == 0
                        ? CompletableFuture.completedFuture(null)
                        : forwarder.handOver(self.name(), self.incarnation(), records);
        return CompletableFuture.allOf(
                Stream.concat(Stream.of(own), handedOverLedgers.handOver(forwarder, nowMillis))
                        .toArray(CompletableFuture<?>[]::new));
    }

    /**
     * Forgets what is old.
     *
     * @param nowMillis The present time in milliseconds.
     */
    @Override
    public void step(long nowMillis) {
        ledger.removeExpired(nowMillis);
        handedOverLedgers.removeExpired(nowMillis);
    }

    /**
     * Executes a call with a ticket.
     *
     * @param call The call.
     * @param encoded The encoded ticket.
     * @param nowMillis The present time in milliseconds.
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
     * Executes or replays a call whose ticket this instance answers for.
     *
     * @param call The call.
     * @param ticket The ticket.
     * @param nowMillis The present time in milliseconds.
     * @return The outcome, or empty if another instance answers for the ticket.
     */
    private Optional<CompletableFuture<CallOutcome>> callLocally(
            ServiceCall call, Ticket ticket, long nowMillis) {
        if (ticket.issuer().equals(environment.self())) {
            return Optional.of(callWithOwnTicket(call, ticket, nowMillis));
        }
        return handedOverLedgers.lookUp(ticket, nowMillis).map(look -> replay(look, hash(call)));
    }

    /**
     * Executes or replays a call whose ticket this run issued.
     *
     * @param call The call.
     * @param ticket The ticket.
     * @param nowMillis The present time in milliseconds.
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
                    .whenComplete((answer, thrown) -> endClaim(ticket, callHash, answer, thrown));
        }
        return claim.completion().thenCompose(record -> outcome(record, !claim.mustExecute()));
    }

    /**
     * Decides, immediately before the first byte is written, whether a ticket's call may start.
     *
     * @param ticket The ticket.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the call was marked as started.
     */
    private boolean tryStart(Ticket ticket, long nowMillis) {
        return environment.writeGate().test(nowMillis) && ledger.start(ticket, nowMillis);
    }

    /**
     * Ends the claim of a ticket's call.
     *
     * @param ticket The ticket.
     * @param callHash The hash of the call.
     * @param answer The whole answer, or {@code null} if the call failed.
     * @param thrown The failure, or {@code null} if the call succeeded.
     */
    private void endClaim(
            Ticket ticket, String callHash, @Nullable ServiceResponse answer, Throwable thrown) {
        if (answer != null) {
            ledger.finish(LedgerRecord.executed(ticket, callHash, answer.status(), answer.body()));
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
     * Replays what an instance that stopped handed on.
     *
     * @param look What is known of the ticket.
     * @param callHash The hash of the call.
     * @return The outcome.
     */
    private static CompletableFuture<CallOutcome> replay(
            Ledger.LookupResult look, String callHash) {
        if (look.record().isEmpty()) {
            return CompletableFuture.failedFuture(
                    RequestFailureException.notRun(
                            FailureCode.TICKET_REFUSED,
                            "Cannot start call: the ticket's issuer stopped, use a new ticket"));
        }
        LedgerRecord record = look.record().get();
        return record.callHash().equals(callHash)
                ? outcome(record, true)
                : CompletableFuture.failedFuture(
                        RequestFailureException.notRun(
                                FailureCode.TICKET_REFUSED,
                                "Cannot use ticket: it was used for another call"));
    }

    /**
     * Returns the outcome that a record holds.
     *
     * @param record The record.
     * @param replayed {@code true} if the outcome is of an earlier attempt.
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
     * Returns the status of a ticket that this instance answers for.
     *
     * @param ticket The ticket.
     * @param nowMillis The present time in milliseconds.
     * @return The status, or empty if another instance answers for the ticket.
     */
    private Optional<CallStatus> localStatus(Ticket ticket, long nowMillis) {
        return ticket.issuer().equals(environment.self())
                ? Optional.of(status(ledger.lookUp(ticket, nowMillis)))
                : handedOverLedgers.lookUp(ticket, nowMillis).map(TicketCallCoordinator::status);
    }

    /**
     * Returns the status that follows from what is known of a ticket.
     *
     * @param look What is known of the ticket.
     * @return The status.
     */
    private static CallStatus status(Ledger.LookupResult look) {
        return switch (look.state()) {
            case OPEN, CLAIMED -> new CallStatus(Verdict.NOT_RUN, false, Optional.empty());
            case NEVER_RUN -> new CallStatus(Verdict.NOT_RUN, true, Optional.empty());
            case STARTED -> new CallStatus(Verdict.MAY_HAVE_RUN, false, Optional.empty());
            case EVICTED -> new CallStatus(Verdict.MAY_HAVE_RUN, true, Optional.empty());
            case ENDED -> status(look.record().orElseThrow());
        };
    }

    /**
     * Returns the status that follows from a record.
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
     * Answers a call that another instance forwarded.
     *
     * @param message The message.
     * @param nowMillis The present time in milliseconds.
     * @return The answer.
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
     * Returns the message that carries an outcome or its failure.
     *
     * @param outcome The outcome.
     * @return The message.
     */
    private static CompletableFuture<PeerMessage> toReply(CompletableFuture<CallOutcome> outcome) {
        return outcome.handle(
                (done, thrown) ->
                        done != null
                                ? CallMessages.ForwardReply.of(done)
                                : CallMessages.ForwardReply.of(Failures.of(thrown)));
    }

    /**
     * Answers what another instance asked about a ticket.
     *
     * @param message The message.
     * @param nowMillis The present time in milliseconds.
     * @return The answer.
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
     * Returns the hash of what a call asks for.
     *
     * @param call The call.
     * @return The hash.
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
