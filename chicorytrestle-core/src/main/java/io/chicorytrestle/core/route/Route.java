package io.chicorytrestle.core.route;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Matches requests by host and path prefix and defines how they are served.
 *
 * @param name The name of the route.
 * @param host The host that requests are sent to, without a port.
 * @param prefix The prefix of the path, which starts and ends with a slash.
 * @param repeatability Whether a request may be executed more than once.
 * @param timeoutMillis The longest time in milliseconds that a request may take.
 * @param latencyTargetMillis The time in milliseconds within which an answer is fully useful.
 * @param gapTargetMillis The longest pause in milliseconds between events of a stream that is fully
 *     useful, or zero if none is stated.
 * @param maximumAttempts The maximum number of endpoints to which one request is sent.
 * @param priorityRank The priority of the requests; zero is the most urgent.
 * @param isPublic Whether callers need not present a key.
 * @param isSticky Whether requests name the parts of their prompts, by which they are routed to the
 *     endpoint that caches them.
 * @param shares The services that receive the requests with their weights, at least one.
 * @param allowedRegions The regions in which requests may be processed, or none for all.
 */
public record Route(
        String name,
        String host,
        String prefix,
        Repeatability repeatability,
        long timeoutMillis,
        long latencyTargetMillis,
        long gapTargetMillis,
        int maximumAttempts,
        int priorityRank,
        boolean isPublic,
        boolean isSticky,
        List<ServiceShare> shares,
        Set<String> allowedRegions) {

    /** Copies the collections and rejects limits that are not positive. */
    public Route {
        shares = List.copyOf(shares);
        allowedRegions = Set.copyOf(allowedRegions);
        if (shares.isEmpty()) {
            throw new IllegalArgumentException("Route " + name + " must have at least one service");
        }
        if (timeoutMillis <= 0 || maximumAttempts <= 0) {
            throw new IllegalArgumentException(
                    "Route "
                            + name
                            + " must have a positive time-out and a positive number of attempts");
        }
    }

    /**
     * Returns {@code true} if the route matches a path of its host.
     *
     * @param path The path without a query.
     * @return {@code true} if the path starts with the prefix.
     */
    boolean matches(String path) {
        return path.startsWith(prefix);
    }

    /**
     * Returns {@code true} if the route's requests may reach a service.
     *
     * @param service The name of the service.
     * @return {@code true} if the service has a share, whatever its weight.
     */
    public boolean leadsTo(String service) {
        return shares.stream().anyMatch(share -> share.service().equals(service));
    }

    /**
     * Returns the service that receives all of the route's requests.
     *
     * @return The service, or empty if there are several.
     */
    public Optional<String> soleService() {
        return shares.size() == 1 ? Optional.of(shares.get(0).service()) : Optional.empty();
    }

    /**
     * Selects the service that receives a request, in proportion to the weights.
     *
     * @param sample A number from zero, inclusive, to one, exclusive, that stays the same for all
     *     attempts of the request.
     * @return The name of the service; the first one if all weights are zero.
     */
    public String selectService(double sample) {
        double total = shares.stream().mapToDouble(ServiceShare::weight).sum();
        double remaining = sample * total;
        for (ServiceShare share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return shares.get(0).service();
    }
}
