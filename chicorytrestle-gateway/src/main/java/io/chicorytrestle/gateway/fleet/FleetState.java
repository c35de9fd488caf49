package io.chicorytrestle.gateway.fleet;

import com.google.common.flogger.FluentLogger;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Controller;
import io.chicorytrestle.core.placement.EndpointDirectory;
import io.chicorytrestle.core.placement.PlacementTopics;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.core.placement.ServingView;
import io.chicorytrestle.core.route.RouteTopics;
import io.chicorytrestle.core.route.RoutingTable;
import io.chicorytrestle.gateway.operations.LogFields;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Merges what the store and the peers tell into what this instance believes, and writes it to the
 * blackboard. It is confined to the event loop's thread.
 */
public final class FleetState implements Controller {

    /** Reports changes of belief. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** What this instance believes. */
    private final Blackboard blackboard;

    /** The endpoints. */
    private final EndpointDirectory directory;

    /** Called with an incarnation that takes no more requests. */
    private final Consumer<String> unavailableListener;

    /** The store's revision of the newest change of endpoints that is known. */
    private long endpointRevision;

    /** The text of the routing table in force, as it was published. */
    private byte[] publishedTable = new byte[0];

    /**
     * Creates new knowledge.
     *
     * @param blackboard What this instance believes.
     * @param lapseMillis The time in milliseconds for which an endpoint whose entry vanished may
     *     serve as a last resort.
     * @param departures Called with an incarnation that takes no more requests.
     */
    public FleetState(Blackboard blackboard, long lapseMillis, Consumer<String> departures) {
        this.blackboard = blackboard;
        this.unavailableListener = departures;
        directory = new EndpointDirectory(lapseMillis);
    }

    /**
     * Takes a routing table unless a newer one is in force.
     *
     * @param table The table.
     * @param published The text from which it was read, for peers.
     * @param source Who told it.
     * @return {@code true} if the table is now in force.
     */
    public boolean acceptTable(RoutingTable table, byte[] published, String source) {
        long before = blackboard.read(RouteTopics.ROUTING_TABLE).version();
        if (table.version() <= before) {
            return false;
        }
        publishedTable = published.clone();
        blackboard.write(RouteTopics.ROUTING_TABLE, table);
        LOGGER.atInfo()
                .with(LogFields.VERSION, table.version())
                .with(LogFields.REASON, source)
                .log("table_accepted");
        return true;
    }

    /**
     * Returns the version of the routing table in force.
     *
     * @return The version, or zero before a table was published.
     */
    public long tableVersion() {
        return blackboard.read(RouteTopics.ROUTING_TABLE).version();
    }

    /**
     * Returns the text of the routing table in force.
     *
     * @return The text as it was published, or none before.
     */
    public byte[] publishedTable() {
        return publishedTable.clone();
    }

    /**
     * Takes a complete list of endpoints.
     *
     * @param endpoints The endpoints.
     * @param revision The store's revision as of the list.
     * @param nowMillis The present time in milliseconds.
     */
    public void replaceFromStore(
            Collection<ServingEndpoint> endpoints, long revision, long nowMillis) {
        endpointRevision = Math.max(endpointRevision, revision);
        publish(directory.replace(endpoints, nowMillis), "store", nowMillis);
    }

    /**
     * Takes note of an incarnation that takes no more requests.
     *
     * @param incarnation The incarnation.
     * @param peer The instance that told it.
     * @param nowMillis The present time in milliseconds.
     */
    public void leaving(String incarnation, String peer, long nowMillis) {
        Optional<EndpointDirectory.Change> change = directory.markLeaving(incarnation, nowMillis);
        publish(change.stream().toList(), peer, nowMillis);
    }

    /**
     * Takes the endpoints that a peer knows, if it knows newer changes of them.
     *
     * @param endpoints The endpoints.
     * @param revision The store's revision of the newest change that the peer knows.
     * @param peer The peer.
     * @param nowMillis The present time in milliseconds.
     */
    public void applyFromPeer(
            Collection<ServingEndpoint> endpoints, long revision, String peer, long nowMillis) {
        if (revision > endpointRevision) {
            endpointRevision = revision;
            publish(directory.replace(endpoints, nowMillis), peer, nowMillis);
        }
    }

    /**
     * Takes changes that this instance or another reader of the zone read. Changes that do not
     * follow on what is known are left to the next snapshot.
     *
     * @param changes The changes.
     * @param nowMillis The present time in milliseconds.
     */
    public void applyFromPeer(EndpointChanges changes, long nowMillis) {
        boolean follows =
                changes.baseRevision() <= endpointRevision && changes.revision() > endpointRevision;
        if (!follows) {
            return;
        }
        endpointRevision = changes.revision();
        publish(updateDirectory(changes, nowMillis), changes.sender(), nowMillis);
    }

    /**
     * Applies changes of endpoints.
     *
     * @param changes The changes.
     * @param nowMillis The present time in milliseconds.
     * @return What became known by them.
     */
    private List<EndpointDirectory.Change> updateDirectory(
            EndpointChanges changes, long nowMillis) {
        List<EndpointDirectory.Change> made = new ArrayList<>();
        for (ServingEndpoint endpoint : changes.changed()) {
            directory.put(endpoint, nowMillis).ifPresent(made::add);
        }
        for (String id : changes.removed()) {
            directory.remove(id, nowMillis).ifPresent(made::add);
        }
        return made;
    }

    /**
     * Returns the store's revision of the newest change of endpoints that is known.
     *
     * @return The revision, or zero before any is known.
     */
    public long endpointRevision() {
        return endpointRevision;
    }

    /**
     * Returns the incarnations that take no more requests.
     *
     * @return The leaving incarnations.
     */
    public List<String> leaving() {
        return directory.leavingIncarnations();
    }

    /**
     * Returns the known endpoints.
     *
     * @return The endpoints.
     */
    public Collection<ServingEndpoint> endpoints() {
        return directory.all();
    }

    @Override
    public void step(long nowMillis) {
        refreshServingView(nowMillis);
    }

    /**
     * Reports changes and writes what is believed now.
     *
     * @param changes The changes.
     * @param source Who told them.
     * @param nowMillis The present time in milliseconds.
     */
    private void publish(List<EndpointDirectory.Change> changes, String source, long nowMillis) {
        for (EndpointDirectory.Change change : changes) {
            LOGGER.atInfo()
                    .with(LogFields.ENDPOINT, change.endpoint().incarnation())
                    .with(LogFields.ADDRESS, change.endpoint().address())
                    .with(LogFields.SERVICE, change.endpoint().service())
                    .with(LogFields.OUTCOME, change.kind().name())
                    .with(LogFields.REASON, source)
                    .log("endpoint_changed");
            if (change.kind() != EndpointDirectory.ChangeKind.FOUND) {
                unavailableListener.accept(change.endpoint().incarnation());
            }
        }
        if (!changes.isEmpty()) {
            refreshServingView(nowMillis);
        }
    }

    /**
     * Writes what is believed now.
     *
     * @param nowMillis The present time in milliseconds.
     */
    private void refreshServingView(long nowMillis) {
        ServingView view = directory.view(nowMillis);
        if (!view.equals(blackboard.read(PlacementTopics.SERVING))) {
            blackboard.write(PlacementTopics.SERVING, view);
        }
    }
}
