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
    private static final double SUFFICIENT_SHARE = 0.5;

    /**
     * The time in milliseconds after which an endpoint that joined has read the prompts of the
     * chats that are now its own.
     */
    private static final long NEWCOMER_MILLIS = 10_000;

    /** The time in milliseconds at which each incarnation appeared beside others. */
    private final Map<String, Long> joined = new HashMap<>();

    /** The endpoints by identifier. */
    private final Map<String, ServingEndpoint> entries = new HashMap<>();

    /** The endpoints whose entries vanished, by identifier. */
    private final Map<String, Vanished> vanished = new HashMap<>();

    /** The incarnations that take no more work. */
    private final Set<String> leaving = new HashSet<>();

    /** The time for which a vanished endpoint may serve as a last resort, in milliseconds. */
    private final long lapseMillis;

    /**
     * Creates a new directory.
     *
     * @param lapseMillis The time for which a vanished endpoint may serve as a last resort, in
     *     milliseconds.
     */
    public EndpointDirectory(long lapseMillis) {
        this.lapseMillis = lapseMillis;
    }

    /**
     * Takes a complete list of the endpoints in place of what was known.
     *
     * @param listed The endpoints.
     * @param nowMillis The present time in milliseconds.
     * @return The changes.
     */
    public List<Change> replace(Collection<ServingEndpoint> listed, long nowMillis) {
        boolean isFirst = entries.isEmpty();
        List<Change> changes = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (ServingEndpoint endpoint : listed) {
            ids.add(endpoint.id());
            put(endpoint, nowMillis).ifPresent(changes::add);
        }
        if (isFirst) {
            joined.clear();
        }
        for (String id : List.copyOf(entries.keySet())) {
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
            leaving.add(endpoint.incarnation());
        }
        ServingEndpoint taken =
                leaving.contains(endpoint.incarnation()) ? endpoint.withLeaving() : endpoint;
        boolean hasOthers = !entries.isEmpty() && !vanished.containsKey(endpoint.id());
        vanished.remove(endpoint.id());
        ServingEndpoint before = entries.put(taken.id(), taken);
        if (taken.equals(before)) {
            return Optional.empty();
        }
        if (before == null && hasOthers) {
            joined.putIfAbsent(taken.incarnation(), nowMillis);
        }
        if (before == null || !before.incarnation().equals(taken.incarnation())) {
            return Optional.of(new Change(taken, taken.isLeaving() ? Kind.LEAVING : Kind.FOUND));
        }
        return taken.isLeaving() && !before.isLeaving()
                ? Optional.of(new Change(taken, Kind.LEAVING))
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
        ServingEndpoint before = entries.remove(id);
        if (before == null) {
            return Optional.empty();
        }
        if (!before.isLeaving()) {
            vanished.put(id, new Vanished(before, nowMillis));
        }
        return Optional.of(new Change(before, Kind.VANISHED));
    }

    /**
     * Takes note of an incarnation that takes no more work.
     *
     * @param incarnation The incarnation.
     * @param nowMillis The present time in milliseconds.
     * @return The change, or empty if this was known or the endpoint is not.
     */
    public Optional<Change> leave(String incarnation, long nowMillis) {
        if (!leaving.add(incarnation)) {
            return Optional.empty();
        }
        return entries.values().stream()
                .filter(endpoint -> endpoint.incarnation().equals(incarnation))
                .findFirst()
                .flatMap(endpoint -> put(endpoint.withLeaving(), nowMillis))
                .map(change -> new Change(change.endpoint(), Kind.LEAVING));
    }

    /**
     * Returns the incarnations among the known endpoints that take no more work.
     *
     * @return The leaving incarnations.
     */
    public List<String> leaving() {
        return entries.values().stream()
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
        return List.copyOf(entries.values());
    }

    /**
     * Returns the endpoints that may take work.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The view.
     */
    public ServingView view(long nowMillis) {
        vanished.values().removeIf(entry -> nowMillis - entry.sinceMillis() >= lapseMillis);
        Map<String, List<ServingEndpoint>> ready = new HashMap<>();
        for (ServingEndpoint endpoint : entries.values()) {
            if (!endpoint.isLeaving()) {
                ready.computeIfAbsent(endpoint.service(), ignored -> new ArrayList<>())
                        .add(endpoint);
            }
        }
        addLapsed(ready);
        ready.values().forEach(list -> list.sort(Comparator.comparing(ServingEndpoint::id)));
        joined.values().removeIf(sinceMillis -> nowMillis - sinceMillis >= NEWCOMER_MILLIS);
        List<ServingEndpoint> departing =
                entries.values().stream().filter(ServingEndpoint::isLeaving).toList();
        return new ServingView(ready, departing, joined.keySet());
    }

    /**
     * Adds vanished endpoints to services that lost most of their endpoints.
     *
     * @param ready The endpoints of each service.
     */
    private void addLapsed(Map<String, List<ServingEndpoint>> ready) {
        Map<String, List<ServingEndpoint>> lapsed = new HashMap<>();
        for (Vanished entry : vanished.values()) {
            if (!leaving.contains(entry.endpoint().incarnation())) {
                lapsed.computeIfAbsent(entry.endpoint().service(), ignored -> new ArrayList<>())
                        .add(entry.endpoint());
            }
        }
        lapsed.forEach(
                (service, endpoints) -> {
                    List<ServingEndpoint> left =
                            ready.computeIfAbsent(service, ignored -> new ArrayList<>());
                    if (left.size() < SUFFICIENT_SHARE * (left.size() + endpoints.size())) {
                        left.addAll(endpoints);
                    }
                });
    }

    /** Enumerates what may become known of an endpoint. */
    public enum Kind {

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
    public record Change(ServingEndpoint endpoint, Kind kind) {}

    /**
     * Holds an endpoint whose entry vanished.
     *
     * @param endpoint The endpoint.
     * @param sinceMillis The time at which this was noticed, in milliseconds.
     */
    private record Vanished(ServingEndpoint endpoint, long sinceMillis) {}
}
