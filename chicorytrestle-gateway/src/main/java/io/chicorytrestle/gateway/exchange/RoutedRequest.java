package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.attempt.RefusalReason;
import io.chicorytrestle.core.placement.Prompt;
import io.chicorytrestle.core.placement.RegionRestriction;
import io.chicorytrestle.core.placement.ServingView;
import io.chicorytrestle.core.route.Route;
import io.chicorytrestle.core.stream.StreamOrigin;
import io.chicorytrestle.gateway.dialect.GatewayRequest;
import java.util.Optional;

/**
 * Holds a request that may be sent to an endpoint.
 *
 * @param request The request as read from its head.
 * @param route The route that matches the host and the path.
 * @param service The service selected from those of the route.
 * @param requestBuilder Builds the requests to endpoints.
 * @param regions The regions in which it may be processed.
 * @param crashHistory The crashes of endpoints under the same request content.
 * @param origin The origin of the stream that it resumes, or empty if it begins one.
 */
record RoutedRequest(
        GatewayRequest request,
        Route route,
        String service,
        EndpointRequestBuilder requestBuilder,
        RegionRestriction regions,
        RequestCrashHistory crashHistory,
        Optional<StreamOrigin> origin) {

    /**
     * Returns {@code true} if the caller resumes a stream, of which it has events.
     *
     * @return {@code true} if only endpoints of the version that began the stream may continue it.
     */
    boolean isTakeUp() {
        return route.repeatability().allowsResume() && request.lastEventId().isPresent();
    }

    /**
     * Returns the request to the service that began the resumed stream.
     *
     * @param found The origin of the stream.
     * @return The request with its origin.
     */
    RoutedRequest resuming(StreamOrigin found) {
        return new RoutedRequest(
                request,
                route,
                found.service(),
                requestBuilder,
                regions,
                crashHistory,
                Optional.of(found));
    }

    /**
     * Returns the time by which the response must be complete.
     *
     * @param arrivedMillis The time of arrival in milliseconds.
     * @return The time in milliseconds, at which the caller or the route ends the request.
     */
    long deadlineMillis(long arrivedMillis) {
        return arrivedMillis
                + Math.min(route.timeoutMillis(), request.deadlineMillis().orElse(Long.MAX_VALUE));
    }

    /**
     * Returns what the request may use of the known endpoints.
     *
     * @param view The known endpoints.
     * @return The view, without endpoints outside the allowed regions.
     */
    ServingView usable(ServingView view) {
        return regions.restrict(view, service);
    }

    /**
     * Returns why no endpoint is left for the request, which has not run.
     *
     * @param view The known endpoints.
     * @param hasTried Whether any endpoint was tried.
     * @return The reason.
     */
    RefusalReason reasonWithoutEndpoint(ServingView view, boolean hasTried) {
        if (view.evacuatedServices().contains(service)) {
            return RefusalReason.EVACUATED;
        }
        if (regions.excludesAll(view, service)) {
            return RefusalReason.OUTSIDE_REGIONS;
        }
        if (origin.isPresent() && !hasVersion(view, origin.get().version())) {
            return RefusalReason.VERSION_GONE;
        }
        return hasTried ? RefusalReason.UNREACHABLE : RefusalReason.NO_ENDPOINT;
    }

    /**
     * Returns {@code true} if an endpoint of a version may be used.
     *
     * @param view The known endpoints.
     * @param version The version.
     * @return {@code true} if the service has one in an allowed region.
     */
    private boolean hasVersion(ServingView view, String version) {
        return usable(view).endpointsOf(service).stream()
                .anyMatch(endpoint -> endpoint.version().equals(version));
    }

    /**
     * Returns the prompt whose cached parts decide on the placement.
     *
     * @return The prompt, or empty if the route does not prefer endpoints with cached parts.
     */
    Optional<Prompt> prompt() {
        return route.isSticky() ? request.prompt() : Optional.empty();
    }
}
