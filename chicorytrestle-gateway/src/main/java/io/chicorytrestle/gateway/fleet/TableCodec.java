package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.route.RoutingTable;
import java.io.IOException;

/** Decodes routing tables from the form in which they are published. */
@FunctionalInterface
public interface TableCodec {

    /**
     * Decodes a routing table.
     *
     * @param published The published bytes.
     * @return The routing table.
     * @throws IOException If the bytes are malformed.
     */
    RoutingTable decode(byte[] published) throws IOException;
}
