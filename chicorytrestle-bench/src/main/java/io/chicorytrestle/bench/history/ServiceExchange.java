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
    private static final int EXECUTION_MILLIS = 400;

    /** The bound of a slow execution in milliseconds. */
    private static final int SLOW_EXECUTION_MILLIS = 4_000;

    /** The bound of a slow connect in milliseconds. */
    private static final int SLOW_CONNECT_MILLIS = 400;

    /** One in so many connects and executions is slow. */
    private static final int SLOW_RATE = 8;

    /** The status of an answer. */
    private static final int STATUS_OK = 200;

    /** The world. */
    private final HistoryWorld world;

    /** The entry instance that sends. */
    private final HistoryNode node;

    /** The farm that counts executions. */
    private final EndpointFarm farm;

    /** The plain service. */
    private final EndpointFarm.Member member;

    /** The request. */
    private final ServiceRequest request;

    /** Asked immediately before the first byte is written. */
    private final LongPredicate mayWrite;

    /** Receives the answer. */
    private final CompletableFuture<ServiceResponse> answer = new CompletableFuture<>();

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
            HistoryWorld world,
            HistoryNode node,
            EndpointFarm farm,
            EndpointFarm.Member member,
            ServiceRequest request,
            LongPredicate mayWrite) {
        this.world = world;
        this.node = node;
        this.farm = farm;
        this.member = member;
        this.request = request;
        this.mayWrite = mayWrite;
    }

    /**
     * Begins the exchange.
     *
     * @return The answer.
     */
    CompletableFuture<ServiceResponse> begin() {
        boolean slow = world.random().nextInt(SLOW_RATE) == 0;
        int delayMillis = 1 + (slow ? world.random().nextInt(SLOW_CONNECT_MILLIS) : 0);
        world.scheduler().after(delayMillis, () -> node.run(this::connect));
        return answer;
    }

    /** Connects, and writes unless that is forbidden by now. */
    private void connect() {
        incarnation = member.incarnation();
        if (world.isCut(node.zone(), member.zone())) {
            world.scheduler().after(CONNECT_TIMEOUT_MILLIS, () -> failAsNotRun("time is up"));
        } else if (incarnation < 0) {
            failAsNotRun("connection refused");
        } else if (!mayWrite.test(world.scheduler().nowMillis())) {
            failAsNotRun("held back");
        } else {
            world.scheduler().at(request.deadlineMillis(), () -> fail("time is up"));
            farm.onWork(member);
            world.maybePauseBeforeSend(node);
            node.run(this::write);
        }
    }

    /** Writes the request. */
    private void write() {
        world.scheduler().after(1, this::arrive);
    }

    /** Receives the request at the service. */
    private void arrive() {
        if (!isConnected() || farm.breaks()) {
            fail("connection broke before execution");
            return;
        }
        if (farm.refuses(member)) {
            failAsNotRun("it leaves");
            return;
        }
        boolean slow = world.random().nextInt(SLOW_RATE) == 0;
        int bound = slow ? SLOW_EXECUTION_MILLIS : EXECUTION_MILLIS;
        world.scheduler().after(1 + world.random().nextInt(bound), this::execute);
    }

    /** Executes the request and answers. */
    private void execute() {
        if (member.incarnation() != incarnation) {
            fail("connection broke during execution");
            return;
        }
        farm.onExecuted(request.body());
        if (farm.breaks() || !isConnected()) {
            fail("connection broke after execution");
            return;
        }
        String text = ServiceModel.answer(request.operation(), request.body());
        world.scheduler()
                .after(
                        1,
                        () ->
                                node.run(
                                        () ->
                                                answer.complete(
                                                        new ServiceResponse(STATUS_OK, text))));
    }

    /**
     * Returns {@code true} if the service that was connected to is still reachable.
     *
     * @return {@code true} if the connection stands.
     */
    private boolean isConnected() {
        return member.incarnation() == incarnation && !world.isCut(node.zone(), member.zone());
    }

    /**
     * Fails the exchange after it may have run.
     *
     * @param why What went wrong.
     */
    private void fail(String why) {
        node.run(
                () ->
                        answer.completeExceptionally(
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
        node.run(
                () ->
                        answer.completeExceptionally(
                                RequestFailureException.notRun(
                                        FailureCode.NO_ENDPOINT, "Cannot use service: " + why)));
    }
}
