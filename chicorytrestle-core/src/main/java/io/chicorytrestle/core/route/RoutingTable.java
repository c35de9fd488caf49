package io.chicorytrestle.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** An immutable version of all routes, services and workspaces. */
public final class RoutingTable {

    /** The table that is used before one is published. It matches no request. */
    public static final RoutingTable EMPTY =
            new RoutingTable(0, List.of(), List.of(), List.of(), RequestLimits.DEFAULT);

    /** The version, which increases with each published table. */
    private final long version;

    /** The routes by host, those with the longest prefix first. */
    private final Map<String, List<Route>> routesByHost;

    /** The services by name. */
    private final Map<String, Service> servicesByName;

    /** The workspaces by key. */
    private final Map<String, Workspace> workspacesByKey;

    /** Whether any workspace is configured, so that callers must present a key. */
    private final boolean hasWorkspaces;

    /** The limits on the size and duration of requests. */
    private final RequestLimits limits;

    /**
     * Creates a new table.
     *
     * @param version The version, zero for the empty table.
     * @param routes The routes.
     * @param services The services.
     * @param workspaces The workspaces.
     * @param limits The limits on the size and duration of requests.
     */
    private RoutingTable(
            long version,
            List<Route> routes,
            List<Service> services,
            List<Workspace> workspaces,
            RequestLimits limits) {
        this.version = version;
        this.routesByHost = new HashMap<>();
        for (Route route : routes) {
            this.routesByHost
                    .computeIfAbsent(route.host(), ignored -> new ArrayList<>())
                    .add(route);
        }
        this.routesByHost
                .values()
                .forEach(
                        list ->
                                list.sort(
                                        Comparator.comparingInt(
                                                        (Route route) -> route.prefix().length())
                                                .reversed()));
        this.servicesByName = new HashMap<>();
        services.forEach(service -> this.servicesByName.put(service.name(), service));
        this.workspacesByKey = new HashMap<>();
        for (Workspace workspace : workspaces) {
            workspace.keys().forEach(key -> this.workspacesByKey.put(key, workspace));
        }
        hasWorkspaces = !workspaces.isEmpty();
        this.limits = limits;
    }

    /**
     * Creates a table from a published configuration.
     *
     * @param version The version, at least one; later tables have larger versions.
     * @param routes The routes.
     * @param services The services.
     * @param workspaces The workspaces.
     * @param limits The limits on the size and duration of requests.
     * @return A new table.
     * @throws IllegalArgumentException If the version is not positive.
     */
    public static RoutingTable of(
            long version,
            List<Route> routes,
            List<Service> services,
            List<Workspace> workspaces,
            RequestLimits limits) {
        if (version <= 0) {
            throw new IllegalArgumentException("Table version must be positive: " + version);
        }
        return new RoutingTable(version, routes, services, workspaces, limits);
    }

    /**
     * Returns the version.
     *
     * @return The version, or zero if no table was published yet.
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits of requests.
     *
     * @return The limits on the size and duration of requests.
     */
    public RequestLimits limits() {
        return limits;
    }

    /**
     * Returns {@code true} if this table was published.
     *
     * @return {@code false} for the empty table.
     */
    public boolean isPublished() {
        return version > 0;
    }

    /**
     * Returns the route of a request.
     *
     * @param host The host without a port.
     * @param path The path without a query.
     * @return The matching route with the longest prefix, or empty if there is none.
     */
    public Optional<Route> route(String host, String path) {
        for (Route route : routesByHost.getOrDefault(host, List.of())) {
            if (route.matches(path)) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns all routes.
     *
     * @return The routes in no particular order.
     */
    List<Route> routes() {
        return routesByHost.values().stream().flatMap(List::stream).toList();
    }

    /**
     * Returns a service.
     *
     * @param name The name of the service.
     * @return The service, or empty if there is none with this name.
     */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(servicesByName.get(name));
    }

    /**
     * Returns the workspace that a key belongs to.
     *
     * @param key The key that a caller presented.
     * @return The workspace, or empty if the key is unknown.
     */
    public Optional<Workspace> workspace(String key) {
        return Optional.ofNullable(workspacesByKey.get(key));
    }

    /**
     * Returns {@code true} if callers of a route must present a key.
     *
     * @param route The route.
     * @return {@code false} if the route is public or no workspace is configured.
     */
    public boolean requiresKey(Route route) {
        return hasWorkspaces && !route.isPublic();
    }
}
