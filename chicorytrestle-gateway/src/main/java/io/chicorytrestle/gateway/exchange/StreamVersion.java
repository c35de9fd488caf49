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
    private Optional<String> version;

    /**
     * Creates the decision for one response.
     *
     * @param resumed The version that wrote the events which the caller already has, or empty if it
     *     has none.
     */
    StreamVersion(Optional<String> resumed) {
        version = resumed;
    }

    /**
     * Records that an event was forwarded; the first one of the stream decides.
     *
     * @param writer The endpoint that wrote it.
     * @return {@code true} if it is the first event of the stream.
     */
    boolean recordEvent(ServingEndpoint writer) {
        if (version.isPresent()) {
            return false;
        }
        version = Optional.of(writer.version());
        return true;
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
