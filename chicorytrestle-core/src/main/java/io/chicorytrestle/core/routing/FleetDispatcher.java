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
 * Dispatches the requests of one entry instance over the endpoints of the fleet, by asking the
 * steward of each pool.
 */
public final class FleetDispatcher implements Dispatcher {

    /** The blackboard to read the table and the membership from. */
    private final Blackboard blackboard;

    /** The sides that ask for places and grant them. */
    private final PoolMessageRouter router;

    /** The settings. */
    private final RoutingSettings settings;

    /** The admissions that were not handed back, by request. */
    private final ShardedMap<String, ActiveAdmission> activeAdmissions = ShardedMap.make();

    /**
     * Creates a new dispatcher.
     *
     * @param blackboard The blackboard to read the table and the membership from.
     * @param desk The sides that ask for places and grant them.
     * @param settings The settings.
     */
    private FleetDispatcher(
            Blackboard blackboard, PoolMessageRouter desk, RoutingSettings settings) {
        this.blackboard = blackboard;
        this.router = desk;
        this.settings = settings;
    }

    /**
     * Creates a new dispatcher and registers its handlers.
     *
     * @param blackboard The blackboard to read the table and the membership from.
     * @param self The identity of this entry instance.
     * @param network Sends messages to other entry instances.
     * @param registry Takes the handlers of messages from other entry instances.
     * @param audit Takes note of changes.
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
        PoolMessageRouter desk = new PoolMessageRouter(blackboard, self, network, settings);
        desk.register(registry);
        return new FleetDispatcher(blackboard, desk, settings);
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
                present -> {
                    boolean same = present != null && present.admission.equals(admission);
                    removed[0] = same ? present : removed[0];
                    return same ? null : present;
                });
        ActiveAdmission held = removed[0];
        if (held == null) {
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
                        held.requestNumber,
                        cachedTokens,
                        outcome.result().endpointFailed(),
                        nowMillis);
        if (cachedTokens == 0) {
            return Optional.empty();
        }
        return new PlacementToken(endpoint.identity(), cachedTokens, nowMillis)
                .encode(held.chat, settings.placementKeys());
    }

    @Override
    public List<String> explain(WorkRequest request, long nowMillis) {
        List<LeaderMessage.CacheHint> claims = cacheHints(request, nowMillis);
        return candidates(request).stream().map(endpoint -> explain(endpoint, claims)).toList();
    }

    @Override
    public void step(long nowMillis) {
        router.step(nowMillis);
    }

    /**
     * Explains one candidate.
     *
     * @param endpoint The candidate.
     * @param claims What is believed of the chat's cached tokens.
     * @return One line.
     */
    private static String explain(Endpoint endpoint, List<LeaderMessage.CacheHint> claims) {
        int tokens =
                claims.stream()
                        .filter(claim -> claim.engine().equals(endpoint.name()))
                        .filter(claim -> claim.incarnation() == endpoint.identity().incarnation())
                        .mapToInt(LeaderMessage.CacheHint::cachedTokens)
                        .findFirst()
                        .orElse(0);
        return "%s: cached tokens by placement token %d, capacity %d"
                .formatted(endpoint.name(), tokens, endpoint.capacity());
    }

    /**
     * Returns the endpoints that can run a request.
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
     * Returns what a request's placement token claims.
     *
     * @param request The request.
     * @param nowMillis The present time in milliseconds.
     * @return The claim, or none if there is no token or it is not believed.
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
     * Takes note of an admission.
     *
     * @param request The request.
     * @param grant The place that was granted.
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
        ActiveAdmission held =
                new ActiveAdmission(admission, request.chat(), grant.requestNumber());
        activeAdmissions.compute(request.requestId(), present -> held);
        return admission;
    }

    /**
     * Refuses a request that did not run.
     *
     * @param code The code of the failure.
     * @param message What was refused and why.
     * @param request The request.
     * @return A failed future.
     */
    private static CompletableFuture<Admission> refuse(
            FailureCode code, String message, WorkRequest request) {
        return CompletableFuture.failedFuture(
                RequestFailureException.notRun(code, message + request.requestId()));
    }

    /**
     * Holds an admission that was not handed back.
     *
     * @param admission The admission.
     * @param chat The chat that the work belongs to.
     * @param requestNumber The number of the request at the steward.
     */
    private record ActiveAdmission(Admission admission, ChatKey chat, long requestNumber) {}
}
