package io.chicorytrestle.core.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which endpoints may process a request by the regions that its route and its workspace
 * allow. Where both state regions, both bind.
 *
 * @param regionsByZone The region of each availability zone.
 * @param routeRegions The regions that the route allows, or none if it allows all.
 * @param workspaceRegions The regions that the workspace allows, or none if it allows all.
 */
public record RegionRestriction(
        Map<String, String> regionsByZone, Set<String> routeRegions, Set<String> workspaceRegions) {

    /** Copies the collections, so that the record is immutable. */
    public RegionRestriction {
        regionsByZone = Map.copyOf(regionsByZone);
        routeRegions = Set.copyOf(routeRegions);
        workspaceRegions = Set.copyOf(workspaceRegions);
    }

    /**
     * Returns what a request may use of the known endpoints: both those that may process it and
     * those from which cached prompt parts are fetched.
     *
     * @param view The known endpoints.
     * @param service The name of the request's service.
     * @return The view itself if all regions are allowed, otherwise one of the service's endpoints
     *     in allowed regions.
     */
    public ServingView restrict(ServingView view, String service) {
        if (routeRegions.isEmpty() && workspaceRegions.isEmpty()) {
            return view;
        }
        return new ServingView(
                Map.of(service, allowed(view.endpointsOf(service))),
                allowed(view.leaving()),
                view.evacuatedServices(),
                view.recentlyJoined());
    }

    /**
     * Returns {@code true} if a service has endpoints that accept work, but none of them in an
     * allowed region.
     *
     * @param view The known endpoints.
     * @param service The name of the service.
     * @return {@code true} if this restriction alone leaves no endpoint.
     */
    public boolean excludesAll(ServingView view, String service) {
        return !view.endpointsOf(service).isEmpty()
                && restrict(view, service).endpointsOf(service).isEmpty();
    }

    /**
     * Returns the endpoints in allowed regions. A zone without a known region is in none.
     *
     * @param endpoints The endpoints.
     * @return The allowed ones.
     */
    private List<ServingEndpoint> allowed(List<ServingEndpoint> endpoints) {
        return endpoints.stream()
                .filter(
                        endpoint ->
                                contains(routeRegions, endpoint)
                                        && contains(workspaceRegions, endpoint))
                .toList();
    }

    /**
     * Returns {@code true} if an endpoint is in one of some regions.
     *
     * @param regions The regions, or none for all.
     * @param endpoint The endpoint.
     * @return {@code true} if it is, or if all regions are meant.
     */
    private boolean contains(Set<String> regions, ServingEndpoint endpoint) {
        return regions.isEmpty()
                || regions.contains(regionsByZone.getOrDefault(endpoint.zone(), ""));
    }
}
