package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.stream.StreamOrigin;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Tells the origins of streams that have begun at the sender.
 *
 * @param ids The identifiers of the requests that began them, by origin.
 */
public record StreamNotice(Map<StreamOrigin, List<String>> ids) implements FleetMessage {

    /** Copies the collections. */
    public StreamNotice {
        ids =
                ids.entrySet().stream()
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        Map.Entry::getKey, entry -> List.copyOf(entry.getValue())));
    }
}
