package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Holds a request that waits for a steward's answer. It is confined to one thread. */
final class PendingRequest {

    /** The number of the request. */
    final long requestNumber;

    /** The request. */
    final WorkRequest request;

    /** What is believed of the chat's cached tokens. */
    private final List<LeaderMessage.CacheHint> cacheHints;

    /** The hash of the chat. */
    final long chatHash;

    /** The names of endpoints that must not be chosen. */
    final List<String> excludedEndpoints;

    /** Completed with the place. */
    final CompletableFuture<Grant> future;

    /** The time at which the request was sent, or zero. */
    long sentAtMillis;

    /**
     * Creates a new waiting request.
     *
     * @param number The number of the request.
     * @param request The request.
     * @param claims What is believed of the chat's cached tokens.
     */
    PendingRequest(long number, WorkRequest request, List<LeaderMessage.CacheHint> claims) {
        this(
                number,
                request,
                claims,
                List.copyOf(request.excludedEndpoints()),
                new CompletableFuture<>());
    }

    /**
     * Creates a new waiting request.
     *
     * @param number The number of the request.
     * @param request The request.
     * @param claims What is believed of the chat's cached tokens.
     * @param excluded The names of endpoints that must not be chosen.
     * @param future Completed with the place.
     */
    PendingRequest(
            long number,
            WorkRequest request,
            List<LeaderMessage.CacheHint> claims,
            List<String> excluded,
            CompletableFuture<Grant> future) {
        this.requestNumber = number;
        this.request = request;
        this.cacheHints = claims;
        this.excludedEndpoints = new ArrayList<>(excluded);
        this.future = future;
        chatHash = RendezvousOrder.hash(request.chat());
    }

    /**
     * Returns this request under another number.
     *
     * @param again The number.
     * @return The request.
     */
    PendingRequest withRequestNumber(long again) {
        return new PendingRequest(again, request, cacheHints, excludedEndpoints, future);
    }

    /**
     * Fails this request, which did not run.
     *
     * @param code The code of the failure.
     */
    void fail(FailureCode code) {
        future.completeExceptionally(
                RequestFailureException.notRun(
                        code, "Cannot admit request: " + request.requestId()));
    }

    /**
     * Returns the place that this request holds once it is granted.
     *
     * @param endpoint The endpoint's name and incarnation.
     * @return The place.
     */
    HeldSlot toHeldSlot(EndpointIdentity endpoint) {
        return new HeldSlot(endpoint, request.chat().workspace(), chatHash);
    }

    /**
     * Returns the message that asks for the place.
     *
     * @param pool The pool's name.
     * @param poolCapacity The capacity of the pool by this instance's view.
     * @param nowMillis The present time in milliseconds.
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
