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

/**
 * Keeps what is known of the endpoints. Leaving is sticky for an incarnation: a stale entry cannot
 * bring it back. An endpoint whose entry vanished stays as a last resort for a short time, since
 * the entries of many live endpoints may lapse together while the list is unavailable. It is
 * confined to one thread.
 */
public final class EndpointDirectory {

    /** The share of a service's endpoints that must remain for vanished ones to be avoided. */
    private static final double MINIMUM_REMAINING_SHARE = 0.5;

    /**
     * The time in milliseconds after which an endpoint that joined has read the prompts of the
     * chats that are now its own.
     */
    private static final long WARM_UP_MILLIS = 10_000;

    /** The time in milliseconds at which each incarnation appeared beside others. */
    private final Map<String, Long> joinTimes = new HashMap<>();

    /** The endpoints by identifier. */
    private final Map<String, ServingEndpoint> listedEndpoints = new HashMap<>();

    /** The endpoints whose entries vanished, by identifier. */
    private final Map<String, VanishedEndpoint> vanished = new HashMap<>();

    /** The incarnations that take no more work. */
    private final Set<String> leavingIncarnations = new HashSet<>();

    /** The time for which a vanished endpoint may serve as a last resort, in milliseconds. */
    private final long vanishedGraceMillis;

    /**
     * Creates a new directory.
     *
     * @param lapseMillis The time for which a vanished endpoint may serve as a last resort, in
     *     milliseconds.
     */
    public EndpointDirectory(long lapseMillis) {
        this.vanishedGraceMillis = lapseMillis;
    }

    /**
     * Takes a complete list of the endpoints in place of what was known.
     *
     * @param listed The endpoints.
     * @param nowMillis The present time in milliseconds.
     * @return The changes.
     */
    public List<Change> replace(Collection<ServingEndpoint> listed, long nowMillis) {
        boolean isFirst = listedEndpoints.isEmpty();
        List<Change> changes = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (ServingEndpoint endpoint : listed) {
            ids.add(endpoint.id());
            put(endpoint, nowMillis).ifPresent(changes::add);
        }
        if (isFirst) {
            joinTimes.clear();
        }
        for (String id : List.copyOf(listedEndpoints.keySet())) {
            if (!ids.contains(id)) {
                remove(id, nowMillis).ifPresent(changes::add);
            }
        }
        return changes;
    }

    /**
     * Takes the entry of an endpoint.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The present time in milliseconds.
     * @return The change, or empty if nothing changed.
     */
    public Optional<Change> put(ServingEndpoint endpoint, long nowMillis) {
        if (endpoint.isLeaving()) {
            leavingIncarnations.add(endpoint.incarnation());
        }
        ServingEndpoint taken =
                leavingIncarnations.contains(endpoint.incarnation())
                        ? endpoint.asLeaving()
                        : endpoint;
        boolean hasOthers = !listedEndpoints.isEmpty() && !vanished.containsKey(endpoint.id());
        vanished.remove(endpoint.id());
        ServingEndpoint before = listedEndpoints.put(taken.id(), taken);
        if (taken.equals(before)) {
            return Optional.empty();
        }
        if (before == null && hasOthers) {
            joinTimes.putIfAbsent(taken.incarnation(), nowMillis);
        }
        if (before == null || !before.incarnation().equals(taken.incarnation())) {
            return Optional.of(
                    new Change(taken, taken.isLeaving() ? ChangeKind.LEAVING : ChangeKind.FOUND));
        }
        return taken.isLeaving() && !before.isLeaving()
                ? Optional.of(new Change(taken, ChangeKind.LEAVING))
                : Optional.empty();
    }

    /**
     * Takes note of an entry that vanished.
     *
     * @param id The identifier of the endpoint.
     * @param nowMillis The present time in milliseconds.
     * @return The change, or empty if the endpoint was not known.
     */
    public Optional<Change> remove(String id, long nowMillis) {
        ServingEndpoint before = listedEndpoints.remove(id);
        if (before == null) {
            return Optional.empty();
        }
        if (!before.isLeaving()) {
            vanished.put(id, new VanishedEndpoint(before, nowMillis));
        }
        return Optional.of(new Change(before, ChangeKind.VANISHED));
    }

    /**
     * Takes note of an incarnation that takes no more work.
     *
     * @param incarnation The incarnation.
     * @param nowMillis The present time in milliseconds.
     * @return The change, or empty if this was known or the endpoint is not.
     */
    public Optional<Change> markLeaving(String incarnation, long nowMillis) {
        if (!leavingIncarnations.add(incarnation)) {
            return Optional.empty();
        }
        return listedEndpoints.values().stream()
                .filter(endpoint -> endpoint.incarnation().equals(incarnation))
                .findFirst()
                .flatMap(endpoint -> put(endpoint.asLeaving(), nowMillis))
                .map(change -> new Change(change.endpoint(), ChangeKind.LEAVING));
    }

    /**
     * Returns the incarnations among the known endpoints that take no more work.
     *
     * @return The leaving incarnations.
     */
    public List<String> leavingIncarnations() {
        return listedEndpoints.values().stream()
                .filter(ServingEndpoint::isLeaving)
                .map(ServingEndpoint::incarnation)
                .toList();
    }

    /**
     * Returns all known endpoints.
     *
     * @return The endpoints.
     */
    public Collection<ServingEndpoint> all() {
        return List.copyOf(listedEndpoints.values());
    }

    /**
     * Returns the endpoints that may take work.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The view.
     */
    public ServingView view(long nowMillis) {
        vanished.values()
                .removeIf(entry -> nowMillis - entry.vanishedMillis() >= vanishedGraceMillis);
        Map<String, List<ServingEndpoint>> ready = new HashMap<>();
        for (ServingEndpoint endpoint : listedEndpoints.values()) {
            if (!endpoint.isLeaving()) {
                ready.computeIfAbsent(endpoint.service(), ignored -> new ArrayList<>())
                        .add(endpoint);
            }
        }
        addVanished(ready);
        ready.values().forEach(list -> list.sort(Comparator.comparing(ServingEndpoint::id)));
        joinTimes.values().removeIf(sinceMillis -> nowMillis - sinceMillis >= WARM_UP_MILLIS);
        List<ServingEndpoint> departing =
                listedEndpoints.values().stream().filter(ServingEndpoint::isLeaving).toList();
        return new ServingView(ready, departing, joinTimes.keySet());
    }

    /**
     * Adds vanished endpoints to services that lost most of their endpoints.
     *
     * @param ready The endpoints of each service.
     */
    private void addVanished(Map<String, List<ServingEndpoint>> ready) {
        Map<String, List<ServingEndpoint>> lapsed = new HashMap<>();
        for (VanishedEndpoint entry : vanished.values()) {
            if (!leavingIncarnations.contains(entry.endpoint().incarnation())) {
                lapsed.computeIfAbsent(entry.endpoint().service(), ignored -> new ArrayList<>())
                        .add(entry.endpoint());
            }
        }
        lapsed.forEach(
                (service, endpoints) -> {
                    List<ServingEndpoint> left =
                            ready.computeIfAbsent(service, ignored -> new ArrayList<>());
                    if (left.size() < MINIMUM_REMAINING_SHARE * (left.size() + endpoints.size())) {
                        left.addAll(endpoints);
                    }
                });
    }

    /** Enumerates what may become known of an endpoint. */
    public enum ChangeKind {

        /** A new incarnation appeared. */
        FOUND,

        /** The incarnation finishes its work and takes no more. */
        LEAVING,

        /** The entry vanished. */
        VANISHED
    }

    /**
     * Tells what became known of an endpoint.
     *
     * @param endpoint The endpoint.
     * @param kind What became known.
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
