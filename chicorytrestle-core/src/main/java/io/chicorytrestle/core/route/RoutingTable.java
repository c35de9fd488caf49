package io.chicorytrestle.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Holds one version of all routes, services and workspaces. It is immutable. */
public final class RoutingTable {

    /** The table before any was published. */
    public static final RoutingTable EMPTY =
            new RoutingTable(0, List.of(), List.of(), List.of(), RequestLimits.DEFAULT);

    /** The version; later tables have larger ones. */
    private final long version;

    /** The routes of each host, those with the longest prefix first. */
    private final Map<String, List<Route>> routesByHost;

    /** The services by name. */
    private final Map<String, Service> servicesByName;

    /** The workspaces by key. */
    private final Map<String, Workspace> workspacesByKey;

    /** Whether callers must present a key. */
    private final boolean hasWorkspaces;

    /** The bounds of requests. */
    private final RequestLimits limits;

    /**
     * Creates a new table.
     *
     * @param version The version; later tables have larger ones.
     * @param routes The routes.
     * @param services The services.
     * @param workspaces The workspaces.
     * @param limits The bounds of requests.
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
     * Returns a new table.
     *
     * @param version The version, which is positive; later tables have larger ones.
     * @param routes The routes.
     * @param services The services.
     * @param workspaces The workspaces.
     * @param limits The bounds of requests.
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
            throw new IllegalArgumentException("Version is not positive: " + version);
        }
        return new RoutingTable(version, routes, services, workspaces, limits);
    }

    /**
     * Returns the version.
     *
     * @return The version, or zero before a table was published.
     */
    public long version() {
        return version;
    }

    /**
     * Returns the bounds of requests.
     *
     * @return The bounds of requests.
     */
    public RequestLimits limits() {
        return limits;
    }

    /**
     * Returns {@code true} if a table was published.
     *
     * @return {@code true} if a table was published.
     */
    public boolean isPublished() {
        return version > 0;
    }

    /**
     * Returns the route of a request.
     *
     * @param host The host without a port.
     * @param path The path without a query.
     * @return The route with the longest prefix that begins the path, or empty if there is none.
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
     * Returns a service.
     *
     * @param name The name.
     * @return The service, or empty if there is none of this name.
     */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(servicesByName.get(name));
    }

    /**
     * Returns the workspace that holds a key.
     *
     * @param key The key.
     * @return The workspace, or empty if none holds the key.
     */
    public Optional<Workspace> workspace(String key) {
        return Optional.ofNullable(workspacesByKey.get(key));
    }

    /**
     * Returns {@code true} if callers of a route must present a key.
     *
     * @param route The route.
     * @return {@code true} if callers must present a key.
     */
    public boolean requiresKey(Route route) {
        return hasWorkspaces && !route.isPublic();
    }
}
