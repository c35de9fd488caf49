package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.fleet.StorePosition;
import io.chicorytrestle.core.placement.Evacuations;
import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes sets of evacuated zones within the messages between instances. */
final class EvacuationCodec {

    /** Prevents instantiation. */
    private EvacuationCodec() {}

    /**
     * Writes a set of evacuated zones.
     *
     * @param packer Receives the fields.
     * @param evacuations The set.
     * @throws IOException Never, since the output is memory.
     */
    static void pack(MessageBufferPacker packer, Evacuations evacuations) throws IOException {
        packer.packLong(evacuations.position().revision());
        packer.packArrayHeader(evacuations.zones().size());
        for (String zone : new TreeSet<>(evacuations.zones())) {
            packer.packString(zone);
        }
        packer.packLong(evacuations.position().era());
    }

    /**
     * Reads a set of evacuated zones.
     *
     * @param unpacker Supplies the fields.
     * @return The set, unknown if the message ends before it, as that of an earlier version does.
     * @throws IOException If the message is malformed.
     */
    static Evacuations unpack(MessageUnpacker unpacker) throws IOException {
        if (!unpacker.hasNext()) {
            return Evacuations.UNKNOWN;
        }
        long revision = unpacker.unpackLong();
        Set<String> zones = Set.copyOf(FleetCodec.unpackStrings(unpacker));
        return new Evacuations(new StorePosition(FleetCodec.unpackEra(unpacker), revision), zones);
    }
}
