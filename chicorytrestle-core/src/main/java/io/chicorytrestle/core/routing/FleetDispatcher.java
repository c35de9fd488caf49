package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.audit.AuditTrail;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.ShardedMap;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.core.identity.ChatKey;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.EndpointMember;
import io.chicorytrestle.core.peer.PeerHandlerRegistry;
import io.chicorytrestle.core.peer.PeerNetwork;
import io.chicorytrestle.core.table.Table;
import io.chicorytrestle.core.table.WorkspaceRow;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Dispatches the requests of one entry instance over the endpoints of the fleet. Slots are
 * requested from the leader of each pool.
 */
public final class FleetDispatcher implements Dispatcher {

    /** The blackboard to read the table and the membership from. */
    private final Blackboard blackboard;

    /** Routes messages between the clients and leaders of the pools. */
    private final PoolMessageRouter router;

    /** The settings. */
    private final RoutingSettings settings;

    /** The admissions that are not yet released, by request identifier. */
    private final ShardedMap<String, ActiveAdmission> activeAdmissions = ShardedMap.make();

    /**
     * Creates a new dispatcher.
     *
     * @param blackboard The blackboard to read the table and the membership from.
     * @param router Routes messages between the clients and leaders of the pools.
     * @param settings The settings.
     */
    private FleetDispatcher(
            Blackboard blackboard, PoolMessageRouter router, RoutingSettings settings) {
        this.blackboard = blackboard;
        this.router = router;
        this.settings = settings;
    }

    /**
     * Creates a new dispatcher and registers its handlers.
     *
     * @param blackboard The blackboard to read the table and the membership from.
     * @param self The identity of this entry instance.
     * @param network Sends messages to other entry instances.
     * @param registry Receives the handlers of messages from other entry instances.
     * @param audit The audit trail; unused.
     * @param settings The settings.
     * @return A new dispatcher.
     */
    public static FleetDispatcher make(
            Blackboard blackboard,
            InstanceIdentity self,
            PeerNetwork network,
            PeerHandlerRegistry registry,
            AuditTrail audit,
            RoutingSettings settings) {
        PoolMessageRouter router = new PoolMessageRouter(blackboard, self, network, settings);
        router.register(registry);
        return new FleetDispatcher(blackboard, router, settings);
    }

    @Override
    public CompletableFuture<Admission> admit(WorkRequest request, long nowMillis) {
        if (nowMillis > request.deadlineMillis()) {
            return refuse(FailureCode.DEADLINE, "Cannot meet deadline of request: ", request);
        }
        if (blackboard.read(Topics.TABLE).pool(request.pool()).isEmpty()) {
            return refuse(FailureCode.NOT_FOUND, "Cannot find pool of request: ", request);
        }
        if (candidates(request).isEmpty()) {
            return refuse(FailureCode.NO_ENDPOINT, "Cannot find endpoint for request: ", request);
        }
        PoolClient client = router.client(request.pool());
        CompletableFuture<Grant> granted =
                client.admit(request, cacheHints(request, nowMillis), nowMillis);
        CompletableFuture<Admission> admitted =
                granted.thenApply(grant -> recordAdmission(request, grant));
        admitted.whenComplete(
                (admission, failure) -> {
                    if (admitted.isCancelled()) {
                        granted.cancel(false);
                    }
                });
        return admitted;
    }

    @Override
    public Optional<String> complete(Admission admission, WorkOutcome outcome, long nowMillis) {
        ActiveAdmission[] removed = new ActiveAdmission[1];
        activeAdmissions.compute(
                admission.requestId(),
                current -> {
                    boolean same = current != null && current.admission.equals(admission);
                    removed[0] = same ? current : removed[0];
                    return same ? null : current;
                });
        ActiveAdmission active = removed[0];
        if (active == null) {
            return Optional.empty();
        }
        Usage usage = outcome.usage();
        int cachedTokens =
                usage != null && outcome.result() == WorkOutcome.Result.DONE
                        ? usage.promptTokens() + usage.generatedTokens()
                        : 0;
        Endpoint endpoint = admission.endpoint();
        router.client(endpoint.pool())
                .release(
                        active.requestNumber,
                        cachedTokens,
                        outcome.result().endpointFailed(),
                        nowMillis);
        if (cachedTokens == 0) {
            return Optional.empty();
        }
        return new PlacementToken(endpoint.identity(), cachedTokens, nowMillis)
                .encode(active.chat, settings.placementKeys());
    }

    @Override
    public List<String> explain(WorkRequest request, long nowMillis) {
        List<LeaderMessage.CacheHint> cacheHints = cacheHints(request, nowMillis);
        return candidates(request).stream().map(endpoint -> explain(endpoint, cacheHints)).toList();
    }

    @Override
    public void step(long nowMillis) {
        router.step(nowMillis);
    }

    /**
     * Describes one candidate.
     *
     * @param endpoint The candidate.
     * @param cacheHints The estimates of the chat's cached tokens.
     * @return One line.
     */
    private static String explain(Endpoint endpoint, List<LeaderMessage.CacheHint> cacheHints) {
        int tokens =
                cacheHints.stream()
                        .filter(hint -> hint.engine().equals(endpoint.name()))
                        .filter(hint -> hint.incarnation() == endpoint.identity().incarnation())
                        .mapToInt(LeaderMessage.CacheHint::cachedTokens)
                        .findFirst()
                        .orElse(0);
        return "%s: cached tokens by placement token %d, capacity %d"
                .formatted(endpoint.name(), tokens, endpoint.capacity());
    }

    /**
     * Returns the endpoints that accept work of the request's pool and are not excluded.
     *
     * @param request The request.
     * @return The endpoints in rendezvous order.
     */
    private List<Endpoint> candidates(WorkRequest request) {
        List<Endpoint> endpoints =
                blackboard.read(Topics.MEMBERSHIP).acceptingEndpoints(request.pool()).stream()
                        .map(EndpointMember::endpoint)
                        .filter(endpoint -> !request.excludedEndpoints().contains(endpoint.name()))
                        .toList();
        return RendezvousOrder.of(endpoints).order(RendezvousOrder.hash(request.chat()));
    }

    /**
     * Returns the hint in a request's placement token.
     *
     * @param request The request.
     * @param nowMillis The current time in milliseconds.
     * @return The hint, or an empty list if there is no token or it is invalid or too old.
     */
    private List<LeaderMessage.CacheHint> cacheHints(WorkRequest request, long nowMillis) {
        return request.encodedPlacementToken()
                .flatMap(
                        encoded ->
                                PlacementToken.decode(
                                        encoded, request.chat(), settings.placementKeys()))
                .filter(
                        token ->
                                nowMillis - token.issuedAtMillis() <= settings.placementAgeMillis())
                .map(token -> token.toCacheHint(nowMillis))
                .map(List::of)
                .orElse(List.of());
    }

    /**
     * Creates an admission and records it until it is released.
     *
     * @param request The request.
     * @param grant The granted slot.
     * @return The admission.
     */
    private Admission recordAdmission(WorkRequest request, Grant grant) {
        Table table = blackboard.read(Topics.TABLE);
        String workspace = request.chat().workspace();
        int priority =
                table.workspace(workspace)
                        .map(WorkspaceRow::priority)
                        .orElse(WorkspaceRow.MINIMUM_PRIORITY);
        Admission admission =
                new Admission(
                        request.requestId(),
                        workspace,
                        grant.endpoint(),
                        priority,
                        grant.expectedCachedTokens());
        ActiveAdmission active =
                new ActiveAdmission(admission, request.chat(), grant.requestNumber());
        activeAdmissions.compute(request.requestId(), current -> active);
        return admission;
    }

    /**
     * Returns a future that fails with the verdict {@code NOT_RUN}.
     *
     * @param code The code of the failure.
     * @param message Why the request is refused; its identifier is appended.
     * @param request The request.
     * @return A failed future.
     */
    private static CompletableFuture<Admission> refuse(
            FailureCode code, String message, WorkRequest request) {
        return CompletableFuture.failedFuture(
                RequestFailureException.notRun(code, message + request.requestId()));
    }

    /**
     * An admission that is not yet released.
     *
     * @param admission The admission.
     * @param chat The chat that the work belongs to.
     * @param requestNumber The number under which the pool's leader knows the request.
     */
    private record ActiveAdmission(Admission admission, ChatKey chat, long requestNumber) {}
}
