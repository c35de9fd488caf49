package io.chicorytrestle.bench.history;

import io.chicorytrestle.core.endpoint.ServiceRequest;
import io.chicorytrestle.core.endpoint.ServiceResponse;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.standin.model.ServiceModel;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;

/** Carries one request to a plain service and its answer back, in virtual time. */
final class ServiceExchange {

    /** The time that a connection to a zone that is cut off takes to fail, in milliseconds. */
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    /** The bound of an ordinary execution in milliseconds. */
    private static final int MAXIMUM_EXECUTION_MILLIS = 400;

    /** The bound of a slow execution in milliseconds. */
    private static final int MAXIMUM_SLOW_EXECUTION_MILLIS = 4_000;

    /** The bound of a slow connect in milliseconds. */
    private static final int MAXIMUM_SLOW_CONNECT_MILLIS = 400;

    /** One in so many connects and executions is slow. */
    private static final int SLOW_ONE_IN = 8;

    /** The status of an answer. */
    private static final int STATUS_OK = 200;

    /** The world. */
    private final HistorySimulation simulation;

    /** The entry instance that sends. */
    private final SimulatedInstance instance;

    /** The farm that counts executions. */
    private final SimulatedEndpoints endpoints;

    /** The plain service. */
    private final SimulatedEndpoints.SimulatedEndpoint service;

    /** The request. */
    private final ServiceRequest request;

    /** Asked immediately before the first byte is written. */
    private final LongPredicate mayWrite;

    /** Receives the answer. */
    private final CompletableFuture<ServiceResponse> response = new CompletableFuture<>();

    /** The service's incarnation when the connection was made. */
    private long incarnation;

    /**
     * Creates a new exchange.
     *
     * @param world The world.
     * @param node The entry instance that sends.
     * @param farm The farm that counts executions.
     * @param member The plain service.
     * @param request The request.
     * @param mayWrite Asked immediately before the first byte is written.
     */
    ServiceExchange(
            HistorySimulation world,
            SimulatedInstance node,
            SimulatedEndpoints farm,
            SimulatedEndpoints.SimulatedEndpoint member,
            ServiceRequest request,
            LongPredicate mayWrite) {
        this.simulation = world;
        this.instance = node;
        this.endpoints = farm;
        this.service = member;
        this.request = request;
        this.mayWrite = mayWrite;
    }

    /**
     * Begins the exchange.
     *
     * @return The answer.
     */
    CompletableFuture<ServiceResponse> begin() {
        boolean slow = simulation.random().nextInt(SLOW_ONE_IN) == 0;
        int delayMillis = 1 + (slow ? simulation.random().nextInt(MAXIMUM_SLOW_CONNECT_MILLIS) : 0);
        simulation.scheduler().scheduleAfter(delayMillis, () -> instance.run(this::connect));
        return response;
    }

    /** Connects, and writes unless that is forbidden by now. */
    private void connect() {
        incarnation = service.incarnation();
        if (simulation.isPartitioned(instance.zone(), service.zone())) {
            simulation.scheduler().scheduleAfter(CONNECT_TIMEOUT_MILLIS, () -> failAsNotRun("time is up"));
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

    /** Writes the request. */
    private void write() {
        simulation.scheduler().scheduleAfter(1, this::receive);
    }

    /** Receives the request at the service. */
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

    /** Executes the request and answers. */
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
     * Returns {@code true} if the service that was connected to is still reachable.
     *
     * @return {@code true} if the connection stands.
     */
    private boolean isConnected() {
        return service.incarnation() == incarnation
                && !simulation.isPartitioned(instance.zone(), service.zone());
    }

    /**
     * Fails the exchange after it may have run.
     *
     * @param why What went wrong.
     */
    private void failAsMayHaveRun(String why) {
        instance.run(
                () ->
                        response.completeExceptionally(
                                RequestFailureException.mayHaveRun(
                                        FailureCode.ENDPOINT_FAILED,
                                        "Cannot use service: " + why)));
    }

    /**
     * Fails the exchange before a byte was written.
     *
     * @param why What went wrong.
     */
    private void failAsNotRun(String why) {
        instance.run(
                () ->
                        response.completeExceptionally(
                                RequestFailureException.notRun(
                                        FailureCode.NO_ENDPOINT, "Cannot use service: " + why)));
    }
}
