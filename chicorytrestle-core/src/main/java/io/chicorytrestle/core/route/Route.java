package io.chicorytrestle.core.route;

import java.util.List;

/**
 * Describes which requests belong together and how they are served.
 *
 * @param name The name of the route.
 * @param host The host that requests name.
 * @param prefix The beginning of the path, which starts and ends with a slash.
 * @param repeatability How often a request may be executed.
 * @param timeoutMillis The longest time for which a request is kept waiting.
 * @param latencyTargetMillis The time within which an answer is fully useful.
 * @param gapTargetMillis The longest pause between events of a stream that is fully useful, or zero
 *     if none is stated.
 * @param maximumAttempts The most endpoints to which one request is sent.
 * @param rank The urgency, zero being the most urgent.
 * @param isPublic Whether callers need no key.
 * @param isSticky Whether requests name the parts of their prompts.
 * @param shares The services that receive the requests, at least one.
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
        int rank,
        boolean isPublic,
        boolean isSticky,
        List<ServiceShare> shares) {

    /** Copies the shares and checks the bounds. */
    public Route {
        shares = List.copyOf(shares);
        if (shares.isEmpty()) {
            throw new IllegalArgumentException("Route " + name + " names no service");
        }
        if (timeoutMillis <= 0 || maximumAttempts <= 0) {
            throw new IllegalArgumentException(
                    "Route " + name + " has a time-out or attempt limit that is not positive");
        }
    }

    /**
     * Returns {@code true} if the route serves a path of its host.
     *
     * @param path The path without a query.
     * @return {@code true} if the prefix begins the path.
     */
    boolean matches(String path) {
        return path.startsWith(prefix);
    }

    /**
     * Returns the service that receives a request.
     *
     * @param draw A number from zero, inclusive, to one, exclusive, that is fixed for the request.
     * @return The name of the service.
     */
    public String selectService(double draw) {
        double total = shares.stream().mapToDouble(ServiceShare::weight).sum();
        double left = draw * total;
        for (ServiceShare share : shares) {
            left -= share.weight();
            if (left < 0) {
                return share.service();
            }
        }
        return shares.get(0).service();
    }
}
