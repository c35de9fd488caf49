package io.chicorytrestle.bench.history;

import io.chicorytrestle.core.endpoint.ServiceRequest;
import io.chicorytrestle.core.endpoint.ServiceResponse;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.standin.model.ServiceModel;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;

/**
 * Carries one request from an entry instance to a service and the response back, in virtual time.
 */
final class ServiceExchange {

    /** The time after which a connection across a network partition fails, in milliseconds. */
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    /** The maximum duration of an ordinary execution in milliseconds. */
    private static final int MAXIMUM_EXECUTION_MILLIS = 400;

    /** The maximum duration of a slow execution in milliseconds. */
    private static final int MAXIMUM_SLOW_EXECUTION_MILLIS = 4_000;

    /** The exclusive upper bound of the additional delay of a slow connect, in milliseconds. */
    private static final int MAXIMUM_SLOW_CONNECT_MILLIS = 400;

    /** One in this many connects and executions, on average, is slow. */
    private static final int SLOW_ONE_IN = 8;

    /** The HTTP status of every response. */
    private static final int STATUS_OK = 200;

    /** The simulation in which the exchange runs. */
    private final HistorySimulation simulation;

    /** The entry instance that sends the request. */
    private final SimulatedInstance instance;

    /** The simulated endpoints, which count executions and decide which connections break. */
    private final SimulatedEndpoints endpoints;

    /** The service that the request is sent to. */
    private final SimulatedEndpoints.SimulatedEndpoint service;

    /** The request to send. */
    private final ServiceRequest request;

    /**
     * Decides at the given time, immediately before the first byte is written, whether the request
     * may still be sent.
     */
    private final LongPredicate mayWrite;

    /** Completes with the response, or with a failure that carries the verdict. */
    private final CompletableFuture<ServiceResponse> response = new CompletableFuture<>();

    /**
     * The incarnation of the service that the connection was made to, or a negative number if it
     * was down.
     */
    private long incarnation;

    /**
     * Creates an exchange that is not yet started.
     *
     * @param simulation The simulation in which the exchange runs.
     * @param instance The entry instance that sends the request.
     * @param endpoints The simulated endpoints that the service belongs to.
     * @param service The service that the request is sent to.
     * @param request The request to send.
     * @param mayWrite Decides at the given time, immediately before the first byte is written,
     *     whether the request may still be sent.
     */
    ServiceExchange(
            HistorySimulation simulation,
            SimulatedInstance instance,
            SimulatedEndpoints endpoints,
            SimulatedEndpoints.SimulatedEndpoint service,
            ServiceRequest request,
            LongPredicate mayWrite) {
        this.simulation = simulation;
        this.instance = instance;
        this.endpoints = endpoints;
        this.service = service;
        this.request = request;
        this.mayWrite = mayWrite;
    }

    /**
     * Starts the exchange with a connect after a random delay.
     *
     * @return The response, or a failed future with the verdict.
     */
    CompletableFuture<ServiceResponse> begin() {
        boolean slow = simulation.random().nextInt(SLOW_ONE_IN) == 0;
        int delayMillis = 1 + (slow ? simulation.random().nextInt(MAXIMUM_SLOW_CONNECT_MILLIS) : 0);
        simulation.scheduler().scheduleAfter(delayMillis, () -> instance.run(this::connect));
        return response;
    }

    /**
     * Connects to the service, and writes the request if that is still permitted. Until the write,
     * a failure means that the request has not run.
     */
    private void connect() {
        incarnation = service.incarnation();
        if (simulation.isPartitioned(instance.zone(), service.zone())) {
            simulation
                    .scheduler()
                    .scheduleAfter(CONNECT_TIMEOUT_MILLIS, () -> failAsNotRun("time is up"));
        } else if (incarnation < 0) {
            failAsNotRun("connection refused");
        } else if (!mayWrite.test(simulation.scheduler().nowMillis())) {
            failAsNotRun("held back");
        } else {
            simulation
                    .scheduler()
                    .scheduleAt(request.deadlineMillis(), () -> failAsMayHaveRun("time is up"));
            endpoints.checkWorkAllowed(service);
            simulation.maybePauseBeforeSend(instance);
            instance.run(this::write);
        }
    }

    /** Writes the request, which arrives a millisecond later. */
    private void write() {
        simulation.scheduler().scheduleAfter(1, this::receive);
    }

    /**
     * Receives the request at the service, which starts to execute it unless the connection broke
     * or the service has been leaving for too long.
     */
    private void receive() {
        if (!isConnected() || endpoints.sampleConnectionBreak()) {
            failAsMayHaveRun("connection broke before execution");
            return;
        }
        if (endpoints.refusesWork(service)) {
            failAsNotRun("it leaves");
            return;
        }
        boolean slow = simulation.random().nextInt(SLOW_ONE_IN) == 0;
        int bound = slow ? MAXIMUM_SLOW_EXECUTION_MILLIS : MAXIMUM_EXECUTION_MILLIS;
        simulation.scheduler().scheduleAfter(1 + simulation.random().nextInt(bound), this::execute);
    }

    /**
     * Completes the execution at the service and sends the response, unless the service restarted
     * meanwhile or the connection breaks.
     */
    private void execute() {
        if (service.incarnation() != incarnation) {
            failAsMayHaveRun("connection broke during execution");
            return;
        }
        endpoints.recordExecution(request.body());
        if (endpoints.sampleConnectionBreak() || !isConnected()) {
            failAsMayHaveRun("connection broke after execution");
            return;
        }
        String text = ServiceModel.responsePrefix(request.operation(), request.body());
        simulation
                .scheduler()
                .scheduleAfter(
                        1,
                        () ->
                                instance.run(
                                        () ->
                                                response.complete(
                                                        new ServiceResponse(STATUS_OK, text))));
    }

    /**
     * Returns whether the connection still exists: the service runs in the same incarnation, and no
     * partition separates the zones.
     *
     * @return {@code true} if the service is reachable.
     */
    private boolean isConnected() {
        return service.incarnation() == incarnation
                && !simulation.isPartitioned(instance.zone(), service.zone());
    }

    /**
     * Fails the exchange with the verdict may-have-run, because the request may have reached the
     * service.
     *
     * @param reason The cause, for the message of the failure.
     */
    private void failAsMayHaveRun(String reason) {
        instance.run(
                () ->
                        response.completeExceptionally(
                                RequestFailureException.mayHaveRun(
                                        FailureCode.ENDPOINT_FAILED,
                                        "Cannot use service: " + reason)));
    }

    /**
     * Fails the exchange with the verdict not-run, because the service did not execute the request.
     *
     * @param reason The cause, for the message of the failure.
     */
    private void failAsNotRun(String reason) {
        instance.run(
                () ->
                        response.completeExceptionally(
                                RequestFailureException.notRun(
                                        FailureCode.NO_ENDPOINT, "Cannot use service: " + reason)));
    }
}
