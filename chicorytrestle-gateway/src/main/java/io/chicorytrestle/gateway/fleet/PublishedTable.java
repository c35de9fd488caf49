package io.chicorytrestle.gateway.fleet;

import java.nio.ByteBuffer;

/**
 * Relays a new routing table within a zone.
 *
 * @param sender The name of the instance that relays it.
 * @param table The encoded routing table as it was published.
 */
public record PublishedTable(String sender, ByteBuffer table) implements FleetMessage {

    /** Makes the table read-only. */
    public PublishedTable {
        table = table.asReadOnlyBuffer();
    }
}
