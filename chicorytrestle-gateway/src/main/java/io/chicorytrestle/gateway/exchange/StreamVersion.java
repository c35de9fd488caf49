package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.placement.ServingEndpoint;
import java.util.List;
import java.util.Optional;

/**
 * Decides which endpoints may write the events of one stream: all of them must have the version of
 * the one that wrote the first, since endpoints do not check it. It is confined to one thread.
 */
final class StreamVersion {

    /** The version that wrote the first event, blank if unknown, or empty before that event. */
    private Optional<String> version = Optional.empty();

    /**
     * Records that an event was forwarded; the first one decides.
     *
     * @param writer The endpoint that wrote it.
     */
    void recordEvent(ServingEndpoint writer) {
        if (version.isEmpty()) {
            version = Optional.of(writer.version());
        }
    }

    /**
     * Returns {@code true} if any endpoint may write the next event.
     *
     * @return {@code false} if the first event came from an endpoint of an unknown version.
     */
    boolean allowsAny() {
        return version.isEmpty() || !version.get().isEmpty();
    }

    /**
     * Returns {@code true} if an endpoint may write the next event.
     *
     * @param endpoint The endpoint, of the same service as the one that wrote the first event.
     * @return {@code true} before the first event, or if the versions are known to be the same.
     */
    boolean allows(ServingEndpoint endpoint) {
        return version.isEmpty()
                || (!endpoint.version().isEmpty() && version.get().equals(endpoint.version()));
    }

    /**
     * Returns the endpoints that may write the next event.
     *
     * @param endpoints The endpoints of the service.
     * @return Those of them that may.
     */
    List<ServingEndpoint> allowed(List<ServingEndpoint> endpoints) {
        return endpoints.stream().filter(this::allows).toList();
    }
}
