package io.chicorytrestle.core.call;

import com.google.common.hash.Hashing;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.InstanceMember;
import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.ticket.LedgerRecord;
import io.chicorytrestle.core.ticket.Ticket;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Forwards calls and status queries to the instance that holds a ticket's ledger: its issuer, or a
 * successor of an issuer that stopped. Hands ledgers over to successors.
 */
final class TicketForwarder {

    /** The number of successors that receive a copy of a ledger. */
    private static final int HANDOVER_REPLICAS = 2;

    /** The maximum number of successors that are tried in place of an issuer. */
    private static final int MAXIMUM_CANDIDATES = 4;

    /**
     * The maximum number of search rounds that end sooner than the time-out of one request. It
     * bounds the rounds that fail at once, which follow each other without a delay.
     */
    private static final int MAXIMUM_IMMEDIATE_ROUNDS = 3;

    /** The number of body characters after which a part of a ledger takes no further record. */
    private static final int MAXIMUM_PART_CHARACTERS = 64 << 10;

    /** The maximum number of records in one part of a ledger. */
    private static final int MAXIMUM_PART_RECORDS = 200;

    /** The dependencies shared with the call coordinator. */
    private final CallEnvironment environment;

    /** The settings, which give the time-out of one request. */
    private final CallSettings settings;

    /**
     * Creates a new forwarder.
     *
     * @param environment The dependencies shared with the call coordinator.
     * @param settings The settings, which give the time-out of one request.
     */
    TicketForwarder(CallEnvironment environment, CallSettings settings) {
        this.environment = environment;
        this.settings = settings;
    }

    /**
     * Forwards a call to the instance that holds the ledger of its ticket.
     *
     * @param call The call.
     * @param ticket The ticket.
     * @param nowMillis The current time in milliseconds.
     * @return The outcome.
     */
    CompletableFuture<CallOutcome> call(ServiceCall call, Ticket ticket, long nowMillis) {
        TicketOwnerSearch<CallMessages.ForwardReply> search =
                new TicketOwnerSearch<>(
                        ticket,
                        CallMessages.ForwardRequest.of(call),
                        call.deadlineMillis(),
                        CallMessages.ForwardReply.class,
                        CallMessages.ForwardReply::issuerKnown);
        search.startRound(nowMillis);
        return search.result.thenCompose(
                reply -> {
                    try {
                        return CompletableFuture.completedFuture(reply.toOutcome());
                    } catch (RequestFailureException failure) {
                        return CompletableFuture.failedFuture(failure);
                    }
                });
    }

    /**
     * Queries the status of a ticket's call at the instance that holds its ledger.
     *
     * @param workspace The workspace that requests the status.
     * @param encoded The encoded ticket.
     * @param ticket The ticket.
     * @param nowMillis The current time in milliseconds.
     * @return The status.
     */
    CompletableFuture<CallStatus> status(
            String workspace, String encoded, Ticket ticket, long nowMillis) {
        TicketOwnerSearch<CallMessages.StatusReply> search =
                new TicketOwnerSearch<>(
                        ticket,
                        new CallMessages.StatusQuery(workspace, encoded),
                        nowMillis + settings.forwardTimeoutMillis(),
                        CallMessages.StatusReply.class,
                        CallMessages.StatusReply::issuerKnown);
        search.startRound(nowMillis);
        return search.result.thenApply(CallMessages.StatusReply::toCallStatus);
    }

    /**
     * Hands over a sealed ledger to successors.
     *
     * @param name The name of the instance that owns the ledger.
     * @param incarnation The incarnation of the instance that owns the ledger.
     * @param records The records.
     * @return A future that completes when enough successors hold the ledger or none is left to
     *     try.
     */
    CompletableFuture<Void> handOver(String name, long incarnation, List<LedgerRecord> records) {
        List<CallMessages.LedgerPart> parts = split(name, incarnation, records);
        List<String> candidates = successorCandidates(name, incarnation);
        return handOver(parts, candidates, 0, 0);
    }

    /**
     * Hands over a ledger to the candidates, one after the other, from the given index on.
     *
     * @param parts The ledger's parts.
     * @param candidates The names of the candidates.
     * @param index The index of the next candidate.
     * @param replicas The number of candidates that hold the ledger already.
     * @return A future that completes when enough candidates hold the ledger or none is left to
     *     try.
     */
    private CompletableFuture<Void> handOver(
            List<CallMessages.LedgerPart> parts, List<String> candidates, int index, int replicas) {
        if (index >= candidates.size() || replicas >= HANDOVER_REPLICAS) {
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<PeerMessage> sent = CompletableFuture.completedFuture(parts.get(0));
        for (CallMessages.LedgerPart part : parts) {
            sent =
                    sent.thenCompose(
                            ignored ->
                                    environment
                                            .network()
                                            .request(
                                                    candidates.get(index),
                                                    part,
                                                    settings.forwardTimeoutMillis()));
        }
        return sent.handle((reply, thrown) -> reply == null ? replicas : replicas + 1)
                .thenCompose(newReplicas -> handOver(parts, candidates, index + 1, newReplicas));
    }

    /**
     * Splits a ledger into parts of bounded size.
     *
     * @param name The name of the instance that owns the ledger.
     * @param incarnation The incarnation of the instance that owns the ledger.
     * @param records The records.
     * @return The parts, of which only the last is marked as such; at least one.
     */
    private static List<CallMessages.LedgerPart> split(
            String name, long incarnation, List<LedgerRecord> records) {
        List<CallMessages.LedgerPart> parts = new ArrayList<>();
        List<LedgerRecord> part = new ArrayList<>();
        int characters = 0;
        for (LedgerRecord record : records) {
            if (part.size() == MAXIMUM_PART_RECORDS || characters > MAXIMUM_PART_CHARACTERS) {
                parts.add(new CallMessages.LedgerPart(name, incarnation, List.copyOf(part), false));
                part = new ArrayList<>();
                characters = 0;
            }
            part.add(record);
            characters += record.body().length();
        }
        parts.add(new CallMessages.LedgerPart(name, incarnation, List.copyOf(part), true));
        return parts;
    }

    /**
     * Returns the live instances that may hold the ledger of an incarnation, in the order of a
     * rendezvous hash, on which all instances agree.
     *
     * @param name The name of the instance that owns the ledger.
     * @param incarnation The incarnation of the instance that owns the ledger.
     * @return The names, most likely first, without the ledger's owner and this instance.
     */
    private List<String> successorCandidates(String name, long incarnation) {
        return environment.blackboard().read(Topics.MEMBERSHIP).liveInstances().stream()
                .map(member -> member.identity().name())
                .filter(candidate -> !candidate.equals(name))
                .filter(candidate -> !candidate.equals(environment.self().name()))
                .sorted(Comparator.comparingLong(candidate -> rank(name, incarnation, candidate)))
                .limit(MAXIMUM_CANDIDATES)
                .toList();
    }

    /**
     * Computes the rendezvous hash of a candidate for the ledger of an incarnation.
     *
     * @param name The name of the instance that owns the ledger.
     * @param incarnation The incarnation of the instance that owns the ledger.
     * @param candidate The name of the candidate.
     * @return The hash; a smaller one is preferred.
     */
    private static long rank(String name, long incarnation, String candidate) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(name, StandardCharsets.UTF_8)
                .putLong(incarnation)
                .putString(candidate, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    /**
     * Returns {@code true} if an incarnation of an entry instance may still be live.
     *
     * @param issuer The incarnation.
     * @return {@code false} if the membership lists a later incarnation of the same instance.
     */
    private boolean mayBeLive(InstanceIdentity issuer) {
        return environment.blackboard().read(Topics.MEMBERSHIP).instances().stream()
                .map(InstanceMember::identity)
                .filter(identity -> identity.name().equals(issuer.name()))
                .noneMatch(identity -> identity.incarnation() > issuer.incarnation());
    }

    /**
     * Sends a request to one instance after the other until one replies that holds the ticket's
     * ledger.
     *
     * @param <T> The type of the reply.
     */
    private final class TicketOwnerSearch<T extends PeerMessage> {

        /** The ticket. */
        private final Ticket ticket;

        /** The request to send. */
        private final PeerMessage request;

        /** The time at which the search fails, in milliseconds. */
        private final long deadlineMillis;

        /** The type of the reply. */
        private final Class<T> replyType;

        /** Tests whether a reply comes from an instance that holds the ticket's ledger. */
        private final Function<T, Boolean> authoritative;

        /** Completed with the first authoritative reply, or with the failure of the search. */
        private final CompletableFuture<T> result = new CompletableFuture<>();

        /** The number of rounds that took less time than the time-out of one request. */
        private int immediateRounds;

        /**
         * Creates a new search.
         *
         * @param ticket The ticket.
         * @param request The request to send.
         * @param deadlineMillis The time at which the search fails, in milliseconds.
         * @param replyType The type of the reply.
         * @param authoritative Tests whether a reply comes from an instance that holds the ticket's
         *     ledger.
         */
        private TicketOwnerSearch(
                Ticket ticket,
                PeerMessage request,
                long deadlineMillis,
                Class<T> replyType,
                Function<T, Boolean> authoritative) {
            this.ticket = ticket;
            this.request = request;
            this.deadlineMillis = deadlineMillis;
            this.replyType = replyType;
            this.authoritative = authoritative;
        }

        /**
         * Tries the issuer first, then the successors that may hold its ledger.
         *
         * @param startMillis The current time in milliseconds.
         */
        private void startRound(long startMillis) {
            InstanceIdentity issuer = ticket.issuer();
            List<String> targets =
                    Stream.concat(
                                    Stream.of(issuer.name()).filter(name -> mayBeLive(issuer)),
                                    successorCandidates(issuer.name(), issuer.incarnation())
                                            .stream())
                            .toList();
            requestFrom(targets, 0, startMillis);
        }

        /**
         * Sends the request to the targets, one after the other, from the given index on.
         *
         * @param targets The names of the instances to try.
         * @param index The index of the next instance.
         * @param startMillis The start time of the round in milliseconds.
         */
        private void requestFrom(List<String> targets, int index, long startMillis) {
            long nowMillis = environment.clock().getAsLong();
            if (index >= targets.size() || nowMillis >= deadlineMillis) {
                endRound(nowMillis, startMillis);
                return;
            }
            long timeoutMillis =
                    Math.min(settings.forwardTimeoutMillis(), deadlineMillis - nowMillis);
            environment
                    .network()
                    .request(targets.get(index), request, timeoutMillis)
                    .whenComplete(
                            (reply, thrown) -> handleReply(targets, index, startMillis, reply));
        }

        /**
         * Completes the search with an authoritative reply, or tries the next target.
         *
         * @param targets The names of the instances to try.
         * @param index The index of the instance that was tried.
         * @param startMillis The start time of the round in milliseconds.
         * @param reply The reply, or {@code null} if the request failed.
         */
        private void handleReply(
                List<String> targets, int index, long startMillis, @Nullable PeerMessage reply) {
            if (replyType.isInstance(reply) && authoritative.apply(replyType.cast(reply))) {
                result.complete(replyType.cast(reply));
            } else {
                requestFrom(targets, index + 1, startMillis);
            }
        }

        /**
         * Starts another round, or fails the search.
         *
         * @param nowMillis The current time in milliseconds.
         * @param startMillis The start time of the round in milliseconds.
         */
        private void endRound(long nowMillis, long startMillis) {
            if (nowMillis - startMillis < settings.forwardTimeoutMillis()) {
                immediateRounds++;
            }
            if (nowMillis < deadlineMillis
                    && immediateRounds < MAXIMUM_IMMEDIATE_ROUNDS
                    && mayBeLive(ticket.issuer())) {
                startRound(nowMillis);
                return;
            }
            result.completeExceptionally(
                    RequestFailureException.mayHaveRun(
                            FailureCode.OUTCOME_UNKNOWN,
                            "Cannot reach the ticket's issuer, look its status up later: "
                                    + ticket.issuer().name()));
        }
    }
}
