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

/** Simulates a caller that wants one non-idempotent operation of a service executed once. */
final class CallOperation implements Operation {

    /** The name of the service operation that each caller requests. */
    private static final String OPERATION = "confirm";

    /** The deadline of a call, relative to the time at which it is sent, in milliseconds. */
    private static final long DEADLINE_MILLIS = 8_000;

    /**
     * How long a caller waits for a response beyond the deadline of its call, in milliseconds.
     * Requests for a ticket, which carry no deadline, time out after this time alone.
     */
    private static final long TIMEOUT_MARGIN_MILLIS = 1_000;

    /** The delay before a failed attempt is repeated, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 400;

    /** The delay before the status of a ticket is queried again, in milliseconds. */
    private static final long STATUS_POLL_MILLIS = 2_500;

    /** The maximum number of attempts with one ticket. */
    private static final int MAXIMUM_ATTEMPTS = 5;

    /** The maximum number of tickets that one caller uses in succession. */
    private static final int MAXIMUM_TICKETS = 3;

    /** The maximum number of requests for a ticket, over all tickets of the caller. */
    private static final int MAXIMUM_TICKET_ATTEMPTS = 40;

    /** The maximum number of status queries before the outcome counts as unknown. */
    private static final int MAXIMUM_STATUS_POLLS = 8;

    /** One in this many callers sends a single attempt without a ticket. */
    private static final int WITHOUT_TICKET_ONE_IN = 6;

    /** One in this many tickets, on average, is used for two concurrent attempts. */
    private static final int CONCURRENT_ONE_IN = 3;

    /** The exclusive upper bound of the delay of the second concurrent attempt, in milliseconds. */
    private static final int MAXIMUM_CONCURRENT_DELAY_MILLIS = 300;

    /** The simulation in which the caller runs. */
    private final HistorySimulation simulation;

    /** The request body. It is unique to this operation, so that its executions can be counted. */
    private final String body;

    /** Whether the caller obtains a ticket, which makes it safe to repeat the call. */
    private final boolean usesTickets;

    /** The encoded ticket in use, or an empty string before the first one was issued. */
    private String currentTicket = "";

    /** The name of the entry instance that issued the current ticket, or an empty string. */
    private String currentIssuer = "";

    /** The number of tickets issued to this caller so far. */
    private int issuedTickets;

    /** The number of failed requests for a ticket so far. */
    private int ticketAttempts;

    /** The number of attempts with the current ticket. */
    private int attempts;

    /** The number of attempts that are scheduled or in flight. */
    private int pendingAttempts;

    /** Whether every attempt with the current ticket that has ended was reported as not run. */
    private boolean allAttemptsNotRun;

    /** The number of calls sent so far; numbers the request identifiers. */
    private int sentRequests;

    /** The verdict that the caller ends with, or {@code null} while it still tries. */
    private @Nullable Verdict finalVerdict;

    /**
     * Creates a caller, which starts when {@link #begin()} is called.
     *
     * @param simulation The simulation in which the caller runs.
     * @param index The number of the caller, which makes its body unique and decides whether it
     *     uses tickets.
     */
    CallOperation(HistorySimulation simulation, int index) {
        this.simulation = simulation;
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
        String instanceName = simulation.randomInstanceName();
        simulation.invoke(
                new Invocation<>(
                        instanceName,
                        instance -> issueTicket(instance),
                        TIMEOUT_MARGIN_MILLIS,
                        (value, failure, answered) -> onTicketReply(instanceName, value)));
    }

    /**
     * Requests a ticket from an entry instance.
     *
     * @param instance The entry instance.
     * @return The encoded ticket, or a failed future if the instance refuses to issue one.
     */
    private CompletableFuture<String> issueTicket(SimulatedInstance instance) {
        try {
            return CompletableFuture.completedFuture(
                    instance.calls()
                            .issueTicket(
                                    HistorySimulation.WORKSPACE,
                                    simulation.scheduler().nowMillis()));
        } catch (RequestFailureException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    /**
     * Starts attempts with an issued ticket, or requests a ticket again after a delay.
     *
     * @param instanceName The name of the entry instance that received the request.
     * @param value The encoded ticket, or {@code null} if none was issued.
     */
    private void onTicketReply(String instanceName, @Nullable String value) {
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
        currentIssuer = instanceName;
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
     * Sends the call to an entry instance under a new request identifier.
     *
     * @param instanceName The name of the entry instance.
     */
    private void attempt(String instanceName) {
        attempts++;
        pendingAttempts++;
        sentRequests++;
        String requestId = body + "-" + sentRequests;
        simulation.invoke(
                new Invocation<>(
                        instanceName,
                        instance ->
                                instance.calls()
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
     * Creates the call with a deadline relative to the present virtual time.
     *
     * @param requestId The identifier of the request.
     * @return The call, with the current ticket if the caller uses tickets.
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
     * Handles the outcome of an attempt and continues once no other attempt is pending.
     *
     * @param value The outcome, or {@code null} if the attempt failed.
     * @param failure The failure, or {@code null} if the attempt succeeded.
     * @param answered {@code true} if an entry instance reported this outcome; {@code false} if the
     *     caller inferred it from its connection or its time-out.
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
     * Checks a verdict of not run against the executions that the services counted.
     *
     * @param message The message of the failure, for the description of a violation.
     * @param answered {@code true} if an entry instance reported this outcome; {@code false} if the
     *     caller inferred it from its connection or its time-out.
     */
    private void verifyNotRun(String message, boolean answered) {
        if (answered && simulation.endpoints().executions(body) > 0) {
            simulation.recordViolation(Violation.Guarantee.TRUE_VERDICT, body + ": " + message);
        }
    }

    /**
     * Retries, takes a new ticket, queries the ticket's status or gives up, after all attempts
     * ended without an outcome.
     *
     * <p>A new ticket is used only if every attempt with the current one was reported as not run,
     * because a new ticket permits another execution.
     *
     * @param refused {@code true} if an entry instance refused the ticket, so that it cannot be
     *     used again.
     */
    private void decideNextStep(boolean refused) {
        if (attempts < MAXIMUM_ATTEMPTS && !refused) {
            simulation
                    .scheduler()
                    .scheduleAfter(
                            RETRY_DELAY_MILLIS, () -> attempt(simulation.randomInstanceName()));
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
     * Queries the status of the current ticket from a random entry instance.
     *
     * @param polls The number of status queries made before.
     */
    private void pollStatus(int polls) {
        if (polls == MAXIMUM_STATUS_POLLS) {
            finalVerdict = Verdict.MAY_HAVE_RUN;
            return;
        }
        simulation.invoke(
                new Invocation<>(
                        simulation.randomInstanceName(),
                        instance ->
                                instance.calls()
                                        .status(
                                                HistorySimulation.WORKSPACE,
                                                currentTicket,
                                                simulation.scheduler().nowMillis()),
                        DEADLINE_MILLIS,
                        (value, failure, answered) -> onStatusReply(value, polls)));
    }

    /**
     * Adopts the verdict of a finished call, or schedules the next status query.
     *
     * @param status The status, or {@code null} if the query failed.
     * @param polls The number of status queries made before this one.
     */
    private void onStatusReply(@Nullable CallStatus status, int polls) {
        if (status == null || !status.finished()) {
            simulation.scheduler().scheduleAfter(STATUS_POLL_MILLIS, () -> pollStatus(polls + 1));
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
            simulation.recordViolation(
                    Violation.Guarantee.AT_MOST_ONCE, body + ": executions: " + executions);
        }
        if (finalVerdict == null) {
            simulation.recordViolation(Violation.Guarantee.ANSWERED, body);
        } else if (finalVerdict == Verdict.NOT_RUN && executions > 0) {
            simulation.recordViolation(
                    Violation.Guarantee.TRUE_VERDICT, body + ": reported as not run but executed");
        } else if (finalVerdict == Verdict.RAN && executions == 0) {
            simulation.recordViolation(
                    Violation.Guarantee.TRUE_VERDICT, body + ": reported as run but not executed");
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
