package io.chicorytrestle.gateway.fleet;

import java.nio.ByteBuffer;

/**
 * Passes a new routing table on within a zone.
 *
 * @param sender The name of the instance that passes it on.
 * @param table The routing table as it was published.
 */
public record PublishedTable(String sender, ByteBuffer table) implements FleetMessage {

    /** Protects the text. */
    public PublishedTable {
        table = table.asReadOnlyBuffer();
    }
}
