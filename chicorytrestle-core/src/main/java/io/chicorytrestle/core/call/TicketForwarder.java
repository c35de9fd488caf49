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

/** Reaches whoever answers for a ticket: its issuer, or the successors of one that stopped. */
final class TicketForwarder {

    /** The successors that receive a ledger. */
    private static final int HANDOVER_REPLICAS = 2;

    /** The instances that are asked in place of an issuer. */
    private static final int MAXIMUM_CANDIDATES = 4;

    /** The most times that an issuer is asked without a pause in between. */
    private static final int MAXIMUM_IMMEDIATE_ROUNDS = 3;

    /** The most characters of bodies in one part of a ledger. */
    private static final int MAXIMUM_PART_CHARACTERS = 64 << 10;

    /** The most records in one part of a ledger. */
    private static final int MAXIMUM_PART_RECORDS = 200;

    /** The parts that the coordinator works with. */
    private final CallEnvironment environment;

    /** The settings. */
    private final CallSettings settings;

    /**
     * Creates a new forwarder.
     *
     * @param environment The parts that the coordinator works with.
     * @param settings The settings.
     */
    TicketForwarder(CallEnvironment environment, CallSettings settings) {
        this.environment = environment;
        this.settings = settings;
    }

    /**
     * Executes a call where its ticket is answered for.
     *
     * @param call The call.
     * @param ticket The ticket.
     * @param nowMillis The present time in milliseconds.
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
     * Asks for the status of a ticket's call.
     *
     * @param workspace The workspace that asks.
     * @param encoded The encoded ticket.
     * @param ticket The ticket.
     * @param nowMillis The present time in milliseconds.
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
     * Hands a sealed ledger to successors.
     *
     * @param name The name of the ledger's instance.
     * @param incarnation The incarnation of the ledger's instance.
     * @param records The records.
     * @return Completed when enough successors hold the ledger, or none is left to try.
     */
    CompletableFuture<Void> handOver(String name, long incarnation, List<LedgerRecord> records) {
        List<CallMessages.LedgerPart> parts = split(name, incarnation, records);
        List<String> candidates = successorCandidates(name, incarnation);
        return handOver(parts, candidates, 0, 0);
    }

    /**
     * Hands a ledger to the candidates from one on.
     *
     * @param parts The ledger's parts.
     * @param candidates The names of the candidates.
     * @param index The index of the next candidate.
     * @param copies The candidates that hold the ledger already.
     * @return Completed when enough candidates hold the ledger, or none is left to try.
     */
    private CompletableFuture<Void> handOver(
            List<CallMessages.LedgerPart> parts, List<String> candidates, int index, int copies) {
        if (index >= candidates.size() || copies >= HANDOVER_REPLICAS) {
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
        return sent.handle((answer, thrown) -> answer == null ? copies : copies + 1)
                .thenCompose(held -> handOver(parts, candidates, index + 1, held));
    }

    /**
     * Splits a ledger into parts of bounded size.
     *
     * @param name The name of the ledger's instance.
     * @param incarnation The incarnation of the ledger's instance.
     * @param records The records.
     * @return The parts, of which only the last is marked as complete.
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
     * Returns the instances that may hold the ledger of a run.
     *
     * @param name The name of the ledger's instance.
     * @param incarnation The incarnation of the ledger's instance.
     * @return The names, most likely first, without the ledger's instance and this one.
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
     * Ranks a candidate for the ledger of a run.
     *
     * @param name The name of the ledger's instance.
     * @param incarnation The incarnation of the ledger's instance.
     * @param candidate The name of the candidate.
     * @return The rank, smaller first.
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
     * Returns {@code true} if a run of an entry instance may still answer.
     *
     * @param issuer The run.
     * @return {@code false} if a later run of the same instance is known.
     */
    private boolean mayBeLive(InstanceIdentity issuer) {
        return environment.blackboard().read(Topics.MEMBERSHIP).instances().stream()
                .map(InstanceMember::identity)
                .filter(identity -> identity.name().equals(issuer.name()))
                .noneMatch(identity -> identity.incarnation() > issuer.incarnation());
    }

    /**
     * Asks one instance after the other until one answers for a ticket.
     *
     * @param <T> The type of the answer.
     */
    private final class TicketOwnerSearch<T extends PeerMessage> {

        /** The ticket. */
        private final Ticket ticket;

        /** The question. */
        private final PeerMessage request;

        /** The time to give up at, in milliseconds. */
        private final long deadlineMillis;

        /** The type of the answer. */
        private final Class<T> replyType;

        /** Tells whether an answer comes from one who answers for the ticket. */
        private final Function<T, Boolean> authoritative;

        /** Receives the answer. */
        private final CompletableFuture<T> result = new CompletableFuture<>();

        /** The rounds that failed without taking time. */
        private int immediateRounds;

        /**
         * Creates a new search.
         *
         * @param ticket The ticket.
         * @param question The question.
         * @param deadlineMillis The time to give up at, in milliseconds.
         * @param type The type of the answer.
         * @param known Tells whether an answer comes from one who answers for the ticket.
         */
        private TicketOwnerSearch(
                Ticket ticket,
                PeerMessage question,
                long deadlineMillis,
                Class<T> type,
                Function<T, Boolean> known) {
            this.ticket = ticket;
            this.request = question;
            this.deadlineMillis = deadlineMillis;
            this.replyType = type;
            this.authoritative = known;
        }

        /**
         * Asks the issuer and then those that may hold its ledger.
         *
         * @param startMillis The present time in milliseconds.
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
         * Asks the targets from one on.
         *
         * @param targets The names of the instances to ask.
         * @param index The index of the next one.
         * @param startMillis The time at which the round began, in milliseconds.
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
                            (answer, thrown) -> handleReply(targets, index, startMillis, answer));
        }

        /**
         * Takes an answer, or asks the next target.
         *
         * @param targets The names of the instances to ask.
         * @param index The index of the one that was asked.
         * @param startMillis The time at which the round began, in milliseconds.
         * @param answer The answer, or {@code null} if there is none.
         */
        private void handleReply(
                List<String> targets, int index, long startMillis, @Nullable PeerMessage answer) {
            if (replyType.isInstance(answer) && authoritative.apply(replyType.cast(answer))) {
                result.complete(replyType.cast(answer));
            } else {
                requestFrom(targets, index + 1, startMillis);
            }
        }

        /**
         * Begins another round, or gives up.
         *
         * @param nowMillis The present time in milliseconds.
         * @param startMillis The time at which the round began, in milliseconds.
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
