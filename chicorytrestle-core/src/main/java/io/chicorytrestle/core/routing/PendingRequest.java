package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A request that waits for a leader's reply. It is confined to one thread. */
final class PendingRequest {

    /** The number of the request, unique for the pool and this entry instance. */
    final long requestNumber;

    /** The request. */
    final WorkRequest request;

    /** The estimates of the chat's cached tokens. */
    private final List<LeaderMessage.CacheHint> cacheHints;

    /** The hash of the chat. */
    final long chatHash;

    /** The names of endpoints that must not be chosen. */
    final List<String> excludedEndpoints;

    /** Completed with the granted slot. */
    final CompletableFuture<Grant> future;

    /** The time at which the request was sent, or zero if it was not sent. */
    long sentAtMillis;

    /**
     * Creates a pending request.
     *
     * @param requestNumber The number of the request.
     * @param request The request.
     * @param cacheHints The estimates of the chat's cached tokens.
     */
    PendingRequest(
            long requestNumber, WorkRequest request, List<LeaderMessage.CacheHint> cacheHints) {
        this(
                requestNumber,
                request,
                cacheHints,
                List.copyOf(request.excludedEndpoints()),
                new CompletableFuture<>());
    }

    /**
     * Creates a pending request.
     *
     * @param requestNumber The number of the request.
     * @param request The request.
     * @param cacheHints The estimates of the chat's cached tokens.
     * @param excludedEndpoints The names of endpoints that must not be chosen.
     * @param future Completed with the granted slot.
     */
    PendingRequest(
            long requestNumber,
            WorkRequest request,
            List<LeaderMessage.CacheHint> cacheHints,
            List<String> excludedEndpoints,
            CompletableFuture<Grant> future) {
        this.requestNumber = requestNumber;
        this.request = request;
        this.cacheHints = cacheHints;
        this.excludedEndpoints = new ArrayList<>(excludedEndpoints);
        this.future = future;
        chatHash = RendezvousOrder.hash(request.chat());
    }

    /**
     * Returns this request under another number, not sent yet.
     *
     * @param newNumber The number.
     * @return The request.
     */
    PendingRequest withRequestNumber(long newNumber) {
        return new PendingRequest(newNumber, request, cacheHints, excludedEndpoints, future);
    }

    /**
     * Fails this request with the verdict {@code NOT_RUN}.
     *
     * @param code The code of the failure.
     */
    void fail(FailureCode code) {
        future.completeExceptionally(
                RequestFailureException.notRun(
                        code, "Cannot admit request: " + request.requestId()));
    }

    /**
     * Returns the slot that this request holds once it is granted.
     *
     * @param endpoint The endpoint's name and incarnation.
     * @return The slot.
     */
    HeldSlot toHeldSlot(EndpointIdentity endpoint) {
        return new HeldSlot(endpoint, request.chat().workspace(), chatHash);
    }

    /**
     * Returns the message that requests the slot.
     *
     * @param pool The pool's name.
     * @param poolCapacity The capacity of the pool in this instance's view.
     * @param nowMillis The current time in milliseconds.
     * @return The message.
     */
    LeaderMessage.AdmitRequest toAdmitRequest(String pool, long poolCapacity, long nowMillis) {
        return new LeaderMessage.AdmitRequest(
                pool,
                requestNumber,
                request.chat().workspace(),
                chatHash,
                request.promptTokens(),
                Math.max(0, request.deadlineMillis() - nowMillis),
                cacheHints,
                List.copyOf(excludedEndpoints),
                poolCapacity);
    }
}
