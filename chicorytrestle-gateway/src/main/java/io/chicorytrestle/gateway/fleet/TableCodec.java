package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.route.RoutingTable;
import java.io.IOException;

/** Reads routing tables in the form in which they are published. */
@FunctionalInterface
public interface TableCodec {

    /**
     * Reads a routing table.
     *
     * @param published The text.
     * @return The table.
     * @throws IOException If the text cannot be understood.
     */
    RoutingTable decode(byte[] published) throws IOException;
}
