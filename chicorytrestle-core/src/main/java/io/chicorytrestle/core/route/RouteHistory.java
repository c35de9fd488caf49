package io.chicorytrestle.core.route;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Tracks which routes were moved to other services lately. The first table that an instance
 * receives counts as unchanged. It is confined to one thread.
 */
public final class RouteHistory {

    /** The time in milliseconds for which it is remembered that a route was moved. */
    private final long memoryMillis;

    /** The newest table. */
    private RoutingTable current = RoutingTable.EMPTY;

    /** The time in milliseconds at which each route was moved. */
    private final Map<Place, Long> movedMillis = new HashMap<>();

    /**
     * Creates a history without tables.
     *
     * @param memoryMillis The time in milliseconds for which it is remembered that a route was
     *     moved.
     */
    public RouteHistory(long memoryMillis) {
        this.memoryMillis = memoryMillis;
    }

    /**
     * Records a table that is in force from now on.
     *
     * @param table The table.
     * @param nowMillis The current time in milliseconds.
     */
    public void record(RoutingTable table, long nowMillis) {
        movedMillis.values().removeIf(millis -> nowMillis - millis > memoryMillis);
        for (Route route : table.routes()) {
            current.route(route.host(), route.prefix())
                    .ifPresent(before -> compare(before, route, nowMillis));
        }
        // The requests of a route that is gone belong to one with a shorter prefix.
        for (Route before : current.routes()) {
            table.route(before.host(), before.prefix())
                    .ifPresent(route -> compare(before, route, nowMillis));
        }
        current = table;
    }

    /**
     * Records that a route was moved, if it leads to other services than the one before.
     *
     * @param before The route that had received the requests.
     * @param route The route that receives them now.
     * @param nowMillis The current time in milliseconds.
     */
    private void compare(Route before, Route route, long nowMillis) {
        if (!services(before).equals(services(route))) {
            movedMillis.put(Place.of(route), nowMillis);
        }
    }

    /**
     * Returns the service that alone received the requests of a route, now and lately.
     *
     * @param route The route.
     * @param nowMillis The current time in milliseconds.
     * @return The service, or empty if there are several or the route was moved lately.
     */
    public Optional<String> soleService(Route route, long nowMillis) {
        Long millis = movedMillis.get(Place.of(route));
        return millis != null && nowMillis - millis <= memoryMillis
                ? Optional.empty()
                : route.soleService();
    }

    /**
     * Returns the services to which a route leads.
     *
     * @param route The route.
     * @return The names of the services.
     */
    private static Set<String> services(Route route) {
        return route.shares().stream().map(ServiceShare::service).collect(Collectors.toSet());
    }

    /**
     * Identifies a route over the versions of the table.
     *
     * @param host The host.
     * @param prefix The prefix of the path.
     */
    private record Place(String host, String prefix) {

        /**
         * Returns the place of a route.
         *
         * @param route The route.
         * @return The place.
         */
        private static Place of(Route route) {
            return new Place(route.host(), route.prefix());
        }
    }
}
