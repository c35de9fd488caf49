package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.stream.StreamOrigin;
import java.util.Optional;

/**
 * Answers a {@link StreamQuery}.
 *
 * @param number The number of the query.
 * @param origin The origin of the stream, or empty if the sender remembers none.
 */
public record StreamReply(long number, Optional<StreamOrigin> origin) implements FleetMessage {}
