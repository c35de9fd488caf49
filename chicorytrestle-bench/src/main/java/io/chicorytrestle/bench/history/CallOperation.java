package io.chicorytrestle.bench.history;

import io.chicorytrestle.core.call.CallOutcome;
import io.chicorytrestle.core.call.CallStatus;
import io.chicorytrestle.core.call.ServiceCall;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import io.chicorytrestle.standin.model.ServiceModel;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** A caller that wants one operation of a plain service executed once. */
final class CallOperation implements Operation {

    /** The operation that is called. */
    private static final String OPERATION = "confirm";

    /** How long an answer may take, in milliseconds. */
    private static final long DEADLINE_MILLIS = 8_000;

    /** How much longer a caller waits, in milliseconds. */
    private static final long TIMEOUT_MARGIN_MILLIS = 1_000;

    /** The time between tries in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 400;

    /** The time between status look-ups in milliseconds. */
    private static final long STATUS_POLL_MILLIS = 2_500;

    /** The most tries with one ticket. */
    private static final int MAXIMUM_ATTEMPTS = 5;

    /** The most tickets. */
    private static final int MAXIMUM_TICKETS = 3;

    /** The most tries to get a ticket. */
    private static final int MAXIMUM_TICKET_ATTEMPTS = 40;

    /** The most status look-ups. */
    private static final int MAXIMUM_STATUS_POLLS = 8;

    /** One in so many callers uses no ticket. */
    private static final int WITHOUT_TICKET_ONE_IN = 6;

    /** One in so many callers sends its call to two instances at once. */
    private static final int CONCURRENT_ONE_IN = 3;

    /** The longest delay of a concurrent repeat in milliseconds. */
    private static final int MAXIMUM_CONCURRENT_DELAY_MILLIS = 300;

    /** The world. */
    private final HistorySimulation simulation;

    /** The body, which no other operation has. */
    private final String body;

    /** Whether the caller uses tickets. */
    private final boolean usesTickets;

    /** The present ticket. */
    private String currentTicket = "";

    /** The name of the present ticket's issuer. */
    private String currentIssuer = "";

    /** The tickets that were issued. */
    private int issuedTickets;

    /** The tries to get a ticket. */
    private int ticketAttempts;

    /** The tries with the present ticket. */
    private int attempts;

    /** The tries that wait for an answer. */
    private int pendingAttempts;

    /** Whether each try with the present ticket was answered as not run. */
    private boolean allAttemptsNotRun;

    /** The identifier of the request that was sent last. */
    private int sentRequests;

    /** What the caller believes in the end, or {@code null} while it tries. */
    private @Nullable Verdict finalVerdict;

    /**
     * Creates a new operation.
     *
     * @param world The world.
     * @param index The number of the operation.
     */
    CallOperation(HistorySimulation world, int index) {
        this.simulation = world;
        body = "booking-" + index;
        usesTickets = index % WITHOUT_TICKET_ONE_IN != 0;
    }

    @Override
    public void begin() {
        if (!usesTickets) {
            attempts = MAXIMUM_ATTEMPTS;
            allAttemptsNotRun = true;
            attempt(simulation.randomInstanceName());
            return;
        }
        String instance = simulation.randomInstanceName();
        simulation.invoke(
                new Invocation<>(
                        instance,
                        node -> issueTicket(node),
                        TIMEOUT_MARGIN_MILLIS,
                        (value, failure, answered) -> onTicketReply(instance, value)));
    }

    /**
     * Asks an entry instance for a ticket.
     *
     * @param node The entry instance.
     * @return The ticket.
     */
    private CompletableFuture<String> issueTicket(SimulatedInstance node) {
        try {
            return CompletableFuture.completedFuture(
                    node.calls()
                            .issueTicket(
                                    HistorySimulation.WORKSPACE,
                                    simulation.scheduler().nowMillis()));
        } catch (RequestFailureException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    /**
     * Takes a ticket, or asks again.
     *
     * @param instance The name of the entry instance that was asked.
     * @param value The ticket, or {@code null} if none was issued.
     */
    private void onTicketReply(String instance, @Nullable String value) {
        if (value == null) {
            ticketAttempts++;
            if (ticketAttempts < MAXIMUM_TICKET_ATTEMPTS) {
                simulation.scheduler().scheduleAfter(RETRY_DELAY_MILLIS, this::begin);
            } else {
                finalVerdict = Verdict.NOT_RUN;
            }
            return;
        }
        currentTicket = value;
        currentIssuer = instance;
        issuedTickets++;
        attempts = 0;
        allAttemptsNotRun = true;
        attempt(
                simulation.random().nextBoolean()
                        ? currentIssuer
                        : simulation.randomInstanceName());
        if (simulation.random().nextInt(CONCURRENT_ONE_IN) == 0) {
            pendingAttempts++;
            simulation
                    .scheduler()
                    .scheduleAfter(
                            simulation.random().nextInt(MAXIMUM_CONCURRENT_DELAY_MILLIS),
                            () -> {
                                pendingAttempts--;
                                attempt(simulation.randomInstanceName());
                            });
        }
    }

    /**
     * Sends the call.
     *
     * @param instance The name of the entry instance.
     */
    private void attempt(String instance) {
        attempts++;
        pendingAttempts++;
        sentRequests++;
        String requestId = body + "-" + sentRequests;
        simulation.invoke(
                new Invocation<>(
                        instance,
                        node ->
                                node.calls()
                                        .call(
                                                createCall(requestId),
                                                simulation.scheduler().nowMillis()),
                        DEADLINE_MILLIS + TIMEOUT_MARGIN_MILLIS,
                        (value, failure, answered) -> {
                            pendingAttempts--;
                            onAttemptEnded(value, failure, answered);
                        }));
    }

    /**
     * Returns the call.
     *
     * @param requestId The identifier of the request.
     * @return The call.
     */
    private ServiceCall createCall(String requestId) {
        return new ServiceCall(
                requestId,
                HistorySimulation.WORKSPACE,
                SimulatedEndpoints.SERVICE_POOL,
                OPERATION,
                body,
                false,
                usesTickets ? Optional.of(currentTicket) : Optional.empty(),
                Optional.empty(),
                simulation.scheduler().nowMillis() + DEADLINE_MILLIS);
    }

    /**
     * Takes the end of a try.
     *
     * @param value The outcome, or {@code null} if there is none.
     * @param failure The failure, or {@code null} if there is none.
     * @param answered {@code true} if an entry instance said so.
     */
    private void onAttemptEnded(
            @Nullable CallOutcome value,
            @Nullable RequestFailureException failure,
            boolean answered) {
        if (value != null) {
            if (!value.body().equals(ServiceModel.responsePrefix(OPERATION, body))) {
                simulation.recordViolation(
                        Violation.Guarantee.OWN_WHOLE_ANSWER, body + ": " + value.body());
            }
            finalVerdict = Verdict.RAN;
            return;
        }
        if (failure == null || finalVerdict == Verdict.RAN) {
            return;
        }
        if (failure.verdict() == Verdict.NOT_RUN) {
            verifyNotRun(failure.message(), answered);
        } else {
            allAttemptsNotRun = false;
        }
        if (pendingAttempts == 0 && finalVerdict == null) {
            decideNextStep(failure.code() == FailureCode.TICKET_REFUSED);
        }
    }

    /**
     * Checks that the call was not executed, as an entry instance says.
     *
     * @param message What the entry instance says.
     * @param answered {@code true} if an entry instance said so.
     */
    private void verifyNotRun(String message, boolean answered) {
        if (answered && simulation.endpoints().executions(body) > 0) {
            simulation.recordViolation(Violation.Guarantee.TRUE_VERDICT, body + ": " + message);
        }
    }

    /**
     * Decides what to do after all tries ended without an outcome.
     *
     * @param refused {@code true} if the ticket cannot be used any more.
     */
    private void decideNextStep(boolean refused) {
        if (attempts < MAXIMUM_ATTEMPTS && !refused) {
            simulation
                    .scheduler()
                    .scheduleAfter(RETRY_DELAY_MILLIS, () -> attempt(simulation.randomInstanceName()));
        } else if (allAttemptsNotRun && usesTickets && issuedTickets < MAXIMUM_TICKETS) {
            begin();
        } else if (allAttemptsNotRun) {
            finalVerdict = Verdict.NOT_RUN;
        } else if (usesTickets) {
            pollStatus(0);
        } else {
            finalVerdict = Verdict.MAY_HAVE_RUN;
        }
    }

    /**
     * Looks the ticket's status up.
     *
     * @param looks The look-ups that were made.
     */
    private void pollStatus(int looks) {
        if (looks == MAXIMUM_STATUS_POLLS) {
            finalVerdict = Verdict.MAY_HAVE_RUN;
            return;
        }
        simulation.invoke(
                new Invocation<>(
                        simulation.randomInstanceName(),
                        node ->
                                node.calls()
                                        .status(
                                                HistorySimulation.WORKSPACE,
                                                currentTicket,
                                                simulation.scheduler().nowMillis()),
                        DEADLINE_MILLIS,
                        (value, failure, answered) -> onStatusReply(value, looks)));
    }

    /**
     * Takes a status.
     *
     * @param status The status, or {@code null} if there is none.
     * @param looks The look-ups that were made before.
     */
    private void onStatusReply(@Nullable CallStatus status, int looks) {
        if (status == null || !status.finished()) {
            simulation.scheduler().scheduleAfter(STATUS_POLL_MILLIS, () -> pollStatus(looks + 1));
            return;
        }
        if (status.verdict() == Verdict.NOT_RUN) {
            verifyNotRun("status", true);
        }
        finalVerdict = status.verdict();
    }

    @Override
    public boolean isDone() {
        return finalVerdict != null && pendingAttempts == 0;
    }

    @Override
    public void check() {
        int executions = simulation.endpoints().executions(body);
        if (executions > 1) {
            simulation.recordViolation(Violation.Guarantee.AT_MOST_ONCE, body + ": " + executions);
        }
        if (finalVerdict == null) {
            simulation.recordViolation(Violation.Guarantee.ANSWERED, body);
        } else if (finalVerdict == Verdict.NOT_RUN && executions > 0) {
            simulation.recordViolation(
                    Violation.Guarantee.TRUE_VERDICT, body + ": believed not run");
        } else if (finalVerdict == Verdict.RAN && executions == 0) {
            simulation.recordViolation(Violation.Guarantee.TRUE_VERDICT, body + ": believed run");
        }
    }

    @Override
    public boolean isNonIdempotent() {
        return true;
    }

    @Override
    public boolean isInDoubt() {
        return finalVerdict == Verdict.MAY_HAVE_RUN;
    }
}
