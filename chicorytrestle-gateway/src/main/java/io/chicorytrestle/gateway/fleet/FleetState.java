package io.chicorytrestle.gateway.fleet;

import com.google.common.flogger.FluentLogger;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Controller;
import io.chicorytrestle.core.fleet.StorePosition;
import io.chicorytrestle.core.placement.ColdEndpoints;
import io.chicorytrestle.core.placement.ColdReport;
import io.chicorytrestle.core.placement.EndpointDirectory;
import io.chicorytrestle.core.placement.Evacuations;
import io.chicorytrestle.core.placement.PlacementTopics;
import io.chicorytrestle.core.placement.ServiceVersions;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.core.placement.ServingView;
import io.chicorytrestle.core.route.RouteTopics;
import io.chicorytrestle.core.route.RoutingTable;
import io.chicorytrestle.gateway.operations.LogFields;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Merges the state received from the store and from peers, and publishes the result on the
 * blackboard. It is confined to the event loop's thread.
 */
public final class FleetState implements Controller {

    /** Logs accepted routing tables and changes of endpoints. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The source logged with what a restored store still lacks after a moment. */
    private static final String RESTORE_SOURCE = "missing after a restore";

    /** Receives the routing table and the view of endpoints. */
    private final Blackboard blackboard;

    /** The endpoints, including vanished ones that may still serve. */
    private final EndpointDirectory directory;

    /** Estimates until when endpoints are cold. */
    private final ColdEndpoints coldEndpoints = new ColdEndpoints();

    /** Tracks which versions of each service may have begun a stream lately. */
    private final ServiceVersions versions = new ServiceVersions();

    /** Reads what was listed before this instance observed the listing. */
    private ListingHistory history = ListingHistory.NoOp.INSTANCE;

    /** Called with each incarnation that accepts no more requests. */
    private final Consumer<String> unavailableListener;

    /** Whether endpoints were ever listed. */
    private boolean hasListed;

    /** The store's position of the newest known change of endpoints. */
    private StorePosition endpointPosition = StorePosition.UNKNOWN;

    /** The latest era of the store that this instance has heard of. */
    private long noticedEra;

    /** The time in milliseconds at which it first heard of that era. */
    private long noticedMillis;

    /** The encoded form of the current routing table, as it was published. */
    private byte[] publishedTable = new byte[0];

    /**
     * Creates a state without a routing table or endpoints.
     *
     * @param blackboard Receives the routing table and the view of endpoints.
     * @param lastResortMillis The time in milliseconds for which an endpoint that vanished from the
     *     store may serve as a last resort.
     * @param unavailableListener Called with each incarnation that accepts no more requests.
     */
    public FleetState(
            Blackboard blackboard, long lastResortMillis, Consumer<String> unavailableListener) {
        this.blackboard = blackboard;
        this.unavailableListener = unavailableListener;
        directory = new EndpointDirectory(lastResortMillis);
    }

    /**
     * Makes a routing table the current one if it is newer.
     *
     * @param table The table.
     * @param encodedTable The encoded table, to be sent to peers.
     * @param source The peer or the store that delivered it; logged.
     * @return {@code true} if the table is now the current one.
     */
    public boolean acceptTable(RoutingTable table, byte[] encodedTable, String source) {
        long currentVersion = blackboard.read(RouteTopics.ROUTING_TABLE).version();
        if (table.version() <= currentVersion) {
            return false;
        }
        publishedTable = encodedTable.clone();
        blackboard.write(RouteTopics.ROUTING_TABLE, table);
        LOGGER.atInfo()
                .with(LogFields.VERSION, table.version())
                .with(LogFields.REASON, source)
                .log("table_accepted");
        return true;
    }

    /**
     * Returns the version of the current routing table.
     *
     * @return The version, or zero before the first table was accepted.
     */
    public long tableVersion() {
        return blackboard.read(RouteTopics.ROUTING_TABLE).version();
    }

    /**
     * Returns the encoded form of the current routing table.
     *
     * @return A copy of the published bytes, empty before the first table was accepted.
     */
    public byte[] publishedTable() {
        return publishedTable.clone();
    }

    /**
     * Replaces all endpoints by a complete list from the store, unless a later position is known: a
     * peer's message may overtake the list. Then only leaving endpoints are marked so.
     *
     * @param endpoints The endpoints.
     * @param position The store's position at the time of the list.
     * @param nowMillis The current time in milliseconds.
     */
    public void replaceFromStore(
            Collection<ServingEndpoint> endpoints, StorePosition position, long nowMillis) {
        if (endpointPosition.isAfter(position)) {
            keepLeaving(endpoints, "store", nowMillis);
            LOGGER.atInfo()
                    .with(LogFields.VERSION, position.revision())
                    .with(LogFields.REASON, endpointPosition + " is known")
                    .log("endpoint_list_overtaken");
            return;
        }
        replace(endpoints, position, "store", nowMillis);
    }

    /**
     * Replaces all endpoints by those of a later position.
     *
     * @param endpoints The endpoints.
     * @param position The store's position of which these are the endpoints.
     * @param source Where they came from; logged.
     * @param nowMillis The current time in milliseconds.
     */
    private void replace(
            Collection<ServingEndpoint> endpoints,
            StorePosition position,
            String source,
            long nowMillis) {
        noticeEra(position.era(), nowMillis);
        boolean isRestored = position.era() > endpointPosition.era();
        endpointPosition = position;
        List<ServingEndpoint> listed = versions.complete(endpoints);
        List<EndpointDirectory.Change> changes =
                isRestored
                        ? directory.replaceRestored(listed, noticedMillis, nowMillis)
                        : directory.replace(listed, nowMillis);
        publish(changes, source, nowMillis);
    }

    /**
     * Marks an incarnation as leaving, so that it gets no more requests.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param peer The name of the instance that reported it; logged.
     * @param nowMillis The current time in milliseconds.
     */
    public void markLeaving(String incarnation, String peer, long nowMillis) {
        Optional<EndpointDirectory.Change> change = directory.markLeaving(incarnation, nowMillis);
        publish(change.stream().toList(), peer, nowMillis);
    }

    /**
     * Returns {@code true} if an incarnation is known to accept no more requests.
     *
     * @param incarnation The incarnation of the endpoint.
     * @return {@code true} if it is leaving.
     */
    public boolean isLeaving(String incarnation) {
        return directory.isLeaving(incarnation);
    }

    /**
     * Replaces all endpoints by those of a peer, if the peer knows a later position. Otherwise only
     * those that are leaving are marked so.
     *
     * @param endpoints The endpoints.
     * @param position The store's position of the newest change known to the peer.
     * @param peer The name of the peer; logged.
     * @param nowMillis The current time in milliseconds.
     */
    public void applyFromPeer(
            Collection<ServingEndpoint> endpoints,
            StorePosition position,
            String peer,
            long nowMillis) {
        if (!position.isAfter(endpointPosition)) {
            keepLeaving(endpoints, peer, nowMillis);
            return;
        }
        replace(endpoints, position, peer, nowMillis);
    }

    /**
     * Applies the endpoints of a snapshot, after what it states of those that are cold.
     *
     * @param snapshot The snapshot.
     * @param nowMillis The current time in milliseconds.
     */
    public void applyFromPeer(Snapshot snapshot, long nowMillis) {
        recordCold(snapshot.coldReports(), nowMillis);
        applyFromPeer(
                snapshot.endpoints(), snapshot.endpointPosition(), snapshot.sender(), nowMillis);
    }

    /**
     * Applies changes that this instance or another reader of the zone read from the store. Changes
     * that are old or leave a gap are ignored, except that leaving endpoints are marked so; the
     * next snapshot closes the gap.
     *
     * @param changes The changes and the range of revisions they cover.
     * @param nowMillis The current time in milliseconds.
     */
    public void applyFromPeer(EndpointChanges changes, long nowMillis) {
        noticeEra(changes.position().era(), nowMillis);
        recordCold(changes.coldReports(), nowMillis);
        if (!changes.isContiguous(endpointPosition)) {
            keepLeaving(changes.changed(), changes.sender(), nowMillis);
            return;
        }
        endpointPosition = changes.position();
        publish(updateDirectory(changes, nowMillis), changes.sender(), nowMillis);
    }

    /**
     * Marks the leaving ones of endpoints that are otherwise ignored: no later revision takes back
     * that an incarnation is leaving, so that the order of such reports does not matter.
     *
     * @param endpoints The endpoints of a list that was overtaken or leaves a gap.
     * @param source Where they came from; logged.
     * @param nowMillis The current time in milliseconds.
     */
    private void keepLeaving(Collection<ServingEndpoint> endpoints, String source, long nowMillis) {
        for (ServingEndpoint endpoint : endpoints) {
            if (endpoint.isLeaving()) {
                markLeaving(endpoint.incarnation(), source, nowMillis);
            }
        }
    }

    /**
     * Applies changes to the directory of endpoints.
     *
     * @param changes The changes and the range of revisions they cover.
     * @param nowMillis The current time in milliseconds.
     * @return The changes that were new to the directory.
     */
    private List<EndpointDirectory.Change> updateDirectory(
            EndpointChanges changes, long nowMillis) {
        List<EndpointDirectory.Change> newChanges = new ArrayList<>();
        for (ServingEndpoint endpoint : versions.complete(changes.changed())) {
            directory.put(endpoint, nowMillis).ifPresent(newChanges::add);
        }
        for (String id : changes.removed()) {
            directory.remove(id, nowMillis).ifPresent(newChanges::add);
        }
        return newChanges;
    }

    /**
     * Returns the store's position of the newest known change of endpoints.
     *
     * @return The position, unknown before the first endpoints were received.
     */
    public StorePosition endpointPosition() {
        return endpointPosition;
    }

    /**
     * Records that the store is in an era. The time for which what a restored store lacks may still
     * come back begins when this instance first hears of the era.
     *
     * @param era The era.
     * @param nowMillis The current time in milliseconds.
     */
    public void noticeEra(long era, long nowMillis) {
        if (era > noticedEra) {
            noticedEra = era;
            noticedMillis = nowMillis;
        }
    }

    /**
     * Returns the latest era of the store from which anything is known.
     *
     * @return The era, or zero if none is known.
     */
    public long storeEra() {
        return Math.max(endpointPosition.era(), evacuations().position().era());
    }

    /**
     * Returns the incarnations that are known to accept no more requests.
     *
     * @return The incarnations, sent to peers in heartbeats.
     */
    public List<String> leaving() {
        return directory.leavingIncarnations();
    }

    /**
     * Returns the known endpoints.
     *
     * @return The endpoints, sent to peers in snapshots.
     */
    public Collection<ServingEndpoint> endpoints() {
        return directory.all();
    }

    /**
     * Records what entries state of how long their endpoints are cold. Must be called before the
     * endpoints themselves are applied, so that none is used before it is known to be cold.
     *
     * @param reports The reports, each ordered by the position of its entry.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordCold(List<ColdReport> reports, long nowMillis) {
        reports.forEach(report -> coldEndpoints.record(report, nowMillis));
    }

    /**
     * Returns the estimate of which endpoints are cold.
     *
     * @return The estimate, to which reports are added.
     */
    public ColdEndpoints coldEndpoints() {
        return coldEndpoints;
    }

    /**
     * Records that the known listing is current, if there is one.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void recordContact(long nowMillis) {
        versions.recordEra(storeEra(), nowMillis);
        if (hasListed) {
            versions.recordContact(nowMillis);
        }
    }

    /**
     * Returns the versions of each service.
     *
     * @return Tells which version alone can have begun a stream.
     */
    public ServiceVersions versions() {
        return versions;
    }

    /**
     * Sets what reads the history of the listing.
     *
     * @param newHistory Records it in {@link #versions}.
     */
    public void setHistory(ListingHistory newHistory) {
        history = newHistory;
    }

    /**
     * Reads what was listed before this instance observed the listing, as {@link
     * ListingHistory#read} does.
     *
     * @param timeoutMillis The longest time in milliseconds to wait.
     * @param receiver Called once, after the history was recorded, or if it could not be read in
     *     time.
     */
    public void readHistory(long timeoutMillis, Runnable receiver) {
        history.read(timeoutMillis, receiver);
    }

    /**
     * Accepts a set of evacuated zones unless a newer one is known, and logs each zone for which
     * that changes what this instance does.
     *
     * @param evacuations The set.
     * @param source The peer or the store that delivered it; logged.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the set is new to this instance.
     */
    public boolean acceptEvacuations(Evacuations evacuations, String source, long nowMillis) {
        if (!evacuations.position().isAfter(directory.evacuations().position())) {
            return false;
        }
        publishEvacuations(directory.accept(evacuations, nowMillis), source, nowMillis);
        return true;
    }

    /**
     * Logs which zones were evacuated or taken back, and publishes those that are evacuated.
     *
     * @param changed The zones, possibly none.
     * @param source Where the change came from; logged.
     * @param nowMillis The current time in milliseconds.
     */
    private void publishEvacuations(Set<String> changed, String source, long nowMillis) {
        Evacuations evacuations = directory.evacuationsInForce();
        for (String zone : changed) {
            LOGGER.atInfo()
                    .with(LogFields.ZONE, zone)
                    .with(
                            LogFields.OUTCOME,
                            evacuations.zones().contains(zone) ? "evacuated" : "taken back")
                    .with(LogFields.VERSION, evacuations.position().revision())
                    .with(LogFields.REASON, source)
                    .log("zone_evacuation_changed");
        }
        if (!changed.isEmpty()) {
            refreshServingView(nowMillis);
        }
        blackboard.write(PlacementTopics.EVACUATIONS, evacuations);
    }

    /**
     * Returns the newest known set of evacuated zones.
     *
     * @return The set, sent to peers in heartbeats and snapshots.
     */
    public Evacuations evacuations() {
        return directory.evacuations();
    }

    @Override
    public void step(long nowMillis) {
        publish(directory.removeOverdue(nowMillis), RESTORE_SOURCE, nowMillis);
        Set<String> changedZones = directory.removeOverdueEvacuations(nowMillis);
        if (!changedZones.isEmpty()) {
            publishEvacuations(changedZones, RESTORE_SOURCE, nowMillis);
        }
        coldEndpoints.removeExpired(directory.all(), nowMillis);
        versions.recordListed(directory.all(), nowMillis);
        versions.removeExpired(nowMillis);
        refreshServingView(nowMillis);
    }

    /**
     * Logs changes, reports endpoints that accept no more requests, and publishes the view of
     * endpoints if anything changed.
     *
     * @param changes The changes, possibly none.
     * @param source Where they came from; logged.
     * @param nowMillis The current time in milliseconds.
     */
    private void publish(List<EndpointDirectory.Change> changes, String source, long nowMillis) {
        for (EndpointDirectory.Change change : changes) {
            versions.recordListed(change.endpoint(), nowMillis);
            coldEndpoints.recordListed(change.endpoint().incarnation(), !hasListed, nowMillis);
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
            hasListed = true;
            refreshServingView(nowMillis);
        }
    }

    /**
     * Publishes the view of endpoints if it differs from the last one.
     *
     * @param nowMillis The current time in milliseconds.
     */
    private void refreshServingView(long nowMillis) {
        ServingView view = directory.view(nowMillis);
        if (!view.equals(blackboard.read(PlacementTopics.SERVING))) {
            blackboard.write(PlacementTopics.SERVING, view);
        }
    }
}
