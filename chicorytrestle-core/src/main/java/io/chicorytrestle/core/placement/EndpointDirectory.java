package io.chicorytrestle.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Tracks the known endpoints. Once an incarnation is leaving, it stays so: a stale entry cannot
 * make it available again. An endpoint whose entry vanished remains a last resort for a short time,
 * since the entries of many live endpoints may lapse together while the list is unavailable. This
 * class is not thread-safe: it is confined to one thread.
 */
public final class EndpointDirectory {

    /**
     * The share of a service's endpoints that must still be listed for vanished ones to be avoided.
     */
    private static final double MINIMUM_REMAINING_SHARE = 0.5;

    /**
     * The time in milliseconds after which the KV cache of an endpoint that joined is assumed to
     * hold the prompts of the chats that are now assigned to it.
     */
    private static final long WARM_UP_MILLIS = 10_000;

    /**
     * The time in milliseconds for which it is remembered that an incarnation is leaving after its
     * entry was last listed, far longer than an endpoint serves once it leaves.
     */
    private static final long LEAVING_MEMORY_MILLIS = 600_000;

    /**
     * The time in milliseconds at which each incarnation joined endpoints that were already listed.
     */
    private final Map<String, Long> joinTimes = new HashMap<>();

    /** The listed endpoints by identifier. */
    private final Map<String, ServingEndpoint> listedEndpoints = new HashMap<>();

    /** The endpoints whose entries vanished, by identifier. */
    private final Map<String, VanishedEndpoint> vanished = new HashMap<>();

    /**
     * The incarnations that accept no more work, also those whose entries are gone, and the time in
     * milliseconds at which each was last reported or listed.
     */
    private final Map<String, Long> leavingIncarnations = new HashMap<>();

    /** Decides which endpoints to use after the store came back from a copy. */
    private final RestoredEndpoints restored = new RestoredEndpoints();

    /** The zones that the operator has evacuated. */
    private final EvacuatedZones evacuatedZones = new EvacuatedZones();

    /**
     * The time in milliseconds for which a vanished endpoint may still be used as a last resort.
     */
    private final long vanishedGraceMillis;

    /**
     * Creates a new directory.
     *
     * @param vanishedGraceMillis The time in milliseconds for which a vanished endpoint may still
     *     be used as a last resort.
     */
    public EndpointDirectory(long vanishedGraceMillis) {
        this.vanishedGraceMillis = vanishedGraceMillis;
    }

    /**
     * Replaces all entries by a complete list of the endpoints.
     *
     * @param listed The endpoints of all services.
     * @param nowMillis The current time in milliseconds.
     * @return The changes, empty if no incarnation appeared, began to leave or vanished.
     */
    public List<Change> replace(Collection<ServingEndpoint> listed, long nowMillis) {
        return replace(listed, false, nowMillis);
    }

    /**
     * Replaces all entries by a complete list of the endpoints from a store that came back from a
     * copy. An endpoint that the list lacks may be used for a moment, in which its entry comes
     * back. One that was removed before gets no requests until its entry is written again or was
     * listed for some time, since the copy may lack the removal.
     *
     * @param listed The endpoints of all services.
     * @param sinceMillis The time in milliseconds since which entries may come back.
     * @param nowMillis The current time in milliseconds.
     * @return The changes, empty if no incarnation appeared, began to leave or vanished.
     */
    public List<Change> replaceRestored(
            Collection<ServingEndpoint> listed, long sinceMillis, long nowMillis) {
        restored.beginEra(sinceMillis);
        return replace(listed, true, nowMillis);
    }

    /**
     * Replaces all entries by a complete list of the endpoints.
     *
     * @param listed The endpoints of all services.
     * @param isLaterEra Whether the list is the first one of a later era of the store.
     * @param nowMillis The current time in milliseconds.
     * @return The changes.
     */
    private List<Change> replace(
            Collection<ServingEndpoint> listed, boolean isLaterEra, long nowMillis) {
        boolean isFirst = listedEndpoints.isEmpty() && restored.missing().isEmpty();
        List<Change> changes = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (ServingEndpoint endpoint : listed) {
            ids.add(endpoint.id());
            restored.recordListed(endpoint.incarnation(), isLaterEra, nowMillis);
            list(endpoint, nowMillis).ifPresent(changes::add);
        }
        if (isFirst) {
            joinTimes.clear();
        }
        for (ServingEndpoint endpoint : all()) {
            if (ids.contains(endpoint.id())) {
                continue;
            }
            if (isLaterEra && isUsable(endpoint, nowMillis)) {
                listedEndpoints.remove(endpoint.id());
                restored.recordMissing(endpoint);
            } else {
                remove(endpoint.id(), nowMillis).ifPresent(changes::add);
            }
        }
        return changes;
    }

    /**
     * Returns {@code true} if a listed endpoint may get requests.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} unless it is leaving or may be gone although it is listed.
     */
    private boolean isUsable(ServingEndpoint endpoint, long nowMillis) {
        return !endpoint.isLeaving() && !restored.isUnconfirmed(endpoint.incarnation(), nowMillis);
    }

    /**
     * Removes the endpoints whose entries did not come back after the store had been restored. They
     * are no last resorts, since their time to come back has passed.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The changes, possibly none.
     */
    public List<Change> removeOverdue(long nowMillis) {
        List<Change> changes = new ArrayList<>();
        for (ServingEndpoint endpoint : restored.overdue(nowMillis)) {
            restored.takeMissing(endpoint.id());
            restored.recordRemoved(endpoint.incarnation(), nowMillis);
            changes.add(new Change(endpoint, ChangeKind.VANISHED));
        }
        return changes;
    }

    /**
     * Adds or replaces the entry of an endpoint, which was written since the last list.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The current time in milliseconds.
     * @return The change, or empty if no new incarnation appeared, none began to leave, and none
     *     that was listed may be used from now on.
     */
    public Optional<Change> put(ServingEndpoint endpoint, long nowMillis) {
        boolean isConfirmed = restored.isUnconfirmed(endpoint.incarnation(), nowMillis);
        restored.recordWritten(endpoint.incarnation());
        Optional<Change> change = list(endpoint, nowMillis);
        boolean isUsableAgain = isConfirmed && !isLeaving(endpoint.incarnation());
        return isUsableAgain ? Optional.of(new Change(endpoint, ChangeKind.FOUND)) : change;
    }

    /**
     * Adds or replaces the entry of an endpoint.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The current time in milliseconds.
     * @return The change, or empty if no new incarnation appeared and none began to leave.
     */
    private Optional<Change> list(ServingEndpoint endpoint, long nowMillis) {
        if (endpoint.isLeaving()) {
            leavingIncarnations.put(endpoint.incarnation(), nowMillis);
        }
        ServingEndpoint current =
                leavingIncarnations.containsKey(endpoint.incarnation())
                        ? endpoint.asLeaving()
                        : endpoint;
        boolean hasOthers = !listedEndpoints.isEmpty() && !vanished.containsKey(endpoint.id());
        vanished.remove(endpoint.id());
        Optional<ServingEndpoint> missing = restored.takeMissing(endpoint.id());
        ServingEndpoint listed = listedEndpoints.put(current.id(), current);
        ServingEndpoint before = listed == null ? missing.orElse(null) : listed;
        if (before != null && !before.incarnation().equals(current.incarnation())) {
            restored.recordRemoved(before.incarnation(), nowMillis);
        }
        if (current.equals(before)) {
            return Optional.empty();
        }
        if (before == null && hasOthers) {
            joinTimes.putIfAbsent(current.incarnation(), nowMillis);
        }
        if (before == null || !before.incarnation().equals(current.incarnation())) {
            return Optional.of(
                    new Change(
                            current, current.isLeaving() ? ChangeKind.LEAVING : ChangeKind.FOUND));
        }
        return current.isLeaving() && !before.isLeaving()
                ? Optional.of(new Change(current, ChangeKind.LEAVING))
                : Optional.empty();
    }

    /**
     * Removes the entry of an endpoint and keeps the endpoint as a last resort unless it was
     * leaving.
     *
     * @param id The identifier of the endpoint.
     * @param nowMillis The current time in milliseconds.
     * @return The change, or empty if the endpoint was not known.
     */
    public Optional<Change> remove(String id, long nowMillis) {
        Optional<ServingEndpoint> missing = restored.takeMissing(id);
        ServingEndpoint listed = listedEndpoints.remove(id);
        ServingEndpoint before = listed == null ? missing.orElse(null) : listed;
        if (before == null) {
            return Optional.empty();
        }
        boolean isLastResort = isUsable(before, nowMillis);
        restored.recordRemoved(before.incarnation(), nowMillis);
        if (isLastResort) {
            vanished.put(id, new VanishedEndpoint(before, nowMillis));
        }
        return Optional.of(new Change(before, ChangeKind.VANISHED));
    }

    /**
     * Marks an incarnation as leaving, so that it accepts no more work.
     *
     * @param incarnation The incarnation.
     * @param nowMillis The current time in milliseconds.
     * @return The change, or empty if the incarnation was already leaving or has no entry, not even
     *     one that is missing or vanished lately.
     */
    public Optional<Change> markLeaving(String incarnation, long nowMillis) {
        if (leavingIncarnations.put(incarnation, nowMillis) != null) {
            return Optional.empty();
        }
        for (ServingEndpoint endpoint : unlisted()) {
            if (endpoint.incarnation().equals(incarnation)) {
                return Optional.of(new Change(endpoint.asLeaving(), ChangeKind.LEAVING));
            }
        }
        return listedEndpoints.values().stream()
                .filter(endpoint -> endpoint.incarnation().equals(incarnation))
                .findFirst()
                .flatMap(endpoint -> list(endpoint.asLeaving(), nowMillis))
                .map(change -> new Change(change.endpoint(), ChangeKind.LEAVING));
    }

    /**
     * Returns the endpoints that may be used although they are not listed.
     *
     * @return The missing and the vanished endpoints.
     */
    private List<ServingEndpoint> unlisted() {
        List<ServingEndpoint> endpoints = new ArrayList<>(restored.missing());
        vanished.values().forEach(entry -> endpoints.add(entry.endpoint()));
        return endpoints;
    }

    /**
     * Returns {@code true} if an incarnation accepts no more work.
     *
     * @param incarnation The incarnation.
     * @return {@code true} if it was marked as leaving, listed or not.
     */
    public boolean isLeaving(String incarnation) {
        return leavingIncarnations.containsKey(incarnation);
    }

    /**
     * Returns the incarnations that accept no more work and that another instance may still use.
     *
     * @return The leaving incarnations whose entries are listed, missing or vanished lately.
     */
    public List<String> leavingIncarnations() {
        return Stream.concat(listedEndpoints.values().stream(), unlisted().stream())
                .map(ServingEndpoint::incarnation)
                .filter(leavingIncarnations::containsKey)
                .toList();
    }

    /**
     * Accepts a set of evacuated zones unless a newer one is known. The endpoints of a zone that is
     * taken back count as having joined once they return, since other endpoints have served their
     * chats meanwhile.
     *
     * @param evacuations The set.
     * @param nowMillis The current time in milliseconds.
     * @return The zones that are evacuated or taken back by it, possibly none.
     */
    public Set<String> accept(Evacuations evacuations, long nowMillis) {
        Set<String> changed = evacuatedZones.accept(evacuations, nowMillis);
        recordReturning(nowMillis);
        return changed;
    }

    /**
     * Ends the evacuations that were not written again after the store had been restored.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The zones that are taken back by that, possibly none.
     */
    public Set<String> removeOverdueEvacuations(long nowMillis) {
        Set<String> changed = evacuatedZones.removeOverdue(nowMillis);
        recordReturning(nowMillis);
        return changed;
    }

    /**
     * Records when the endpoints of zones that were taken back join the others.
     *
     * @param nowMillis The current time in milliseconds.
     */
    private void recordReturning(long nowMillis) {
        for (ServingEndpoint endpoint : listedEndpoints.values()) {
            if (evacuatedZones.isReturning(endpoint, nowMillis)) {
                joinTimes.put(endpoint.incarnation(), evacuatedZones.returnsAtMillis(endpoint));
            }
        }
    }

    /**
     * Returns the newest known set of evacuated zones.
     *
     * @return The set, sent to other instances.
     */
    public Evacuations evacuations() {
        return evacuatedZones.current();
    }

    /**
     * Returns the set of evacuated zones that holds for this instance.
     *
     * @return The newest known set, with the zones that a restored store lacks for the moment.
     */
    public Evacuations evacuationsInForce() {
        return evacuatedZones.inForce();
    }

    /**
     * Returns all listed endpoints, leaving ones included.
     *
     * @return The endpoints.
     */
    public Collection<ServingEndpoint> all() {
        return List.copyOf(listedEndpoints.values());
    }

    /**
     * Returns the endpoints that may accept work. Where most entries of a service vanished, its
     * vanished endpoints are included for the grace period. Those of evacuated zones never are, nor
     * those that may be gone although the store lists them again.
     *
     * @param nowMillis The current time in milliseconds.
     * @return An immutable snapshot.
     */
    public ServingView view(long nowMillis) {
        vanished.values()
                .removeIf(entry -> nowMillis - entry.vanishedMillis() >= vanishedGraceMillis);
        restored.removeExpired(nowMillis);
        Map<String, List<ServingEndpoint>> ready = new HashMap<>();
        List<ServingEndpoint> withdrawn = new ArrayList<>();
        for (ServingEndpoint endpoint : usable(nowMillis)) {
            if (evacuatedZones.isEvacuated(endpoint)) {
                withdrawn.add(endpoint);
            } else {
                ready.computeIfAbsent(endpoint.service(), ignored -> new ArrayList<>())
                        .add(endpoint);
            }
        }
        Set<String> evacuatedServices = new HashSet<>();
        withdrawn.forEach(endpoint -> evacuatedServices.add(endpoint.service()));
        ready.values().forEach(endpoints -> holdBackReturning(endpoints, withdrawn, nowMillis));
        addVanished(ready);
        evacuatedServices.removeAll(ready.keySet());
        withdrawn.removeIf(
                endpoint -> nowMillis - evacuatedZones.sinceMillis(endpoint) >= WARM_UP_MILLIS);
        ready.values().forEach(list -> list.sort(Comparator.comparing(ServingEndpoint::id)));
        joinTimes.values().removeIf(sinceMillis -> nowMillis - sinceMillis >= WARM_UP_MILLIS);
        List<ServingEndpoint> leavingEndpoints =
                listedEndpoints.values().stream().filter(ServingEndpoint::isLeaving).toList();
        leavingEndpoints.forEach(
                endpoint -> leavingIncarnations.put(endpoint.incarnation(), nowMillis));
        leavingIncarnations
                .values()
                .removeIf(sinceMillis -> nowMillis - sinceMillis >= LEAVING_MEMORY_MILLIS);
        withdrawn.addAll(leavingEndpoints);
        return new ServingView(ready, withdrawn, evacuatedServices, joinTimes.keySet());
    }

    /**
     * Returns the endpoints that may get requests unless their zone is evacuated.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The listed endpoints and those whose entries may come back.
     */
    private List<ServingEndpoint> usable(long nowMillis) {
        return Stream.concat(
                        listedEndpoints.values().stream(), restored.missing(nowMillis).stream())
                .filter(endpoint -> isUsable(endpoint, nowMillis))
                .filter(endpoint -> !leavingIncarnations.containsKey(endpoint.incarnation()))
                .toList();
    }

    /**
     * Moves the endpoints of a service that return later to the withdrawn ones, unless no other is
     * left.
     *
     * @param endpoints The endpoints of the service that may accept work.
     * @param withdrawn The endpoints that accept no work but may hold cached prompt parts.
     * @param nowMillis The current time in milliseconds.
     */
    private void holdBackReturning(
            List<ServingEndpoint> endpoints, List<ServingEndpoint> withdrawn, long nowMillis) {
        List<ServingEndpoint> returning =
                endpoints.stream()
                        .filter(endpoint -> evacuatedZones.isReturning(endpoint, nowMillis))
                        .toList();
        if (returning.size() < endpoints.size()) {
            endpoints.removeAll(returning);
            withdrawn.addAll(returning);
        }
    }

    /**
     * Adds vanished endpoints to services that lost most of their endpoints.
     *
     * @param ready The endpoints of each service.
     */
    private void addVanished(Map<String, List<ServingEndpoint>> ready) {
        Map<String, List<ServingEndpoint>> vanishedByService = new HashMap<>();
        for (VanishedEndpoint entry : vanished.values()) {
            if (!leavingIncarnations.containsKey(entry.endpoint().incarnation())
                    && !evacuatedZones.isEvacuated(entry.endpoint())) {
                vanishedByService
                        .computeIfAbsent(entry.endpoint().service(), ignored -> new ArrayList<>())
                        .add(entry.endpoint());
            }
        }
        vanishedByService.forEach(
                (service, endpoints) -> {
                    List<ServingEndpoint> left =
                            ready.computeIfAbsent(service, ignored -> new ArrayList<>());
                    if (left.size() < MINIMUM_REMAINING_SHARE * (left.size() + endpoints.size())) {
                        left.addAll(endpoints);
                    }
                });
    }

    /** Enumerates the kinds of change to an endpoint. */
    public enum ChangeKind {

        /** A new incarnation appeared, or one that may have been gone is alive. */
        FOUND,

        /** The incarnation finishes its work and accepts no more. */
        LEAVING,

        /** The entry vanished. */
        VANISHED
    }

    /**
     * Describes a change to an endpoint.
     *
     * @param endpoint The endpoint.
     * @param kind The kind of change.
     */
    public record Change(ServingEndpoint endpoint, ChangeKind kind) {}

    /**
     * Holds an endpoint whose entry vanished.
     *
     * @param endpoint The endpoint.
     * @param vanishedMillis The time at which this was noticed, in milliseconds.
     */
    private record VanishedEndpoint(ServingEndpoint endpoint, long vanishedMillis) {}
}
