package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.placement.ServingEndpoint;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes endpoints, as a part of messages. */
final class EndpointCodec {

    /** Prevents instantiation. */
    private EndpointCodec() {}

    /**
     * Writes endpoints without their versions, preceded by their number.
     *
     * @param packer Receives the fields.
     * @param endpoints The endpoints.
     * @throws IOException Never, since the output is memory.
     */
    static void pack(MessageBufferPacker packer, List<ServingEndpoint> endpoints)
            throws IOException {
        packer.packArrayHeader(endpoints.size());
        for (ServingEndpoint endpoint : endpoints) {
            packer.packString(endpoint.id());
            packer.packString(endpoint.service());
            packer.packString(endpoint.address());
            packer.packString(endpoint.zone());
            packer.packInt(endpoint.slots());
            packer.packBoolean(endpoint.isLeaving());
            packer.packLong(endpoint.startMillis());
        }
    }

    /**
     * Reads endpoints, preceded by their number.
     *
     * @param unpacker Supplies the fields.
     * @return The endpoints. Their versions follow in another part of the message.
     * @throws IOException If the message is malformed.
     */
    static List<ServingEndpoint> unpack(MessageUnpacker unpacker) throws IOException {
        List<ServingEndpoint> endpoints = new ArrayList<>();
        for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
            endpoints.add(
                    new ServingEndpoint(
                            unpacker.unpackString(),
                            unpacker.unpackString(),
                            unpacker.unpackString(),
                            unpacker.unpackString(),
                            unpacker.unpackInt(),
                            unpacker.unpackBoolean(),
                            unpacker.unpackLong()));
        }
        return endpoints;
    }

    /**
     * Writes the versions of endpoints, preceded by their number.
     *
     * @param packer Receives the fields.
     * @param endpoints The endpoints.
     * @throws IOException Never, since the output is memory.
     */
    static void packVersions(MessageBufferPacker packer, List<ServingEndpoint> endpoints)
            throws IOException {
        FleetCodec.packStrings(packer, endpoints.stream().map(ServingEndpoint::version).toList());
    }

    /**
     * Reads the versions of endpoints, preceded by their number.
     *
     * @param unpacker Supplies the fields.
     * @param endpoints The endpoints without their versions.
     * @return The endpoints with their versions, unchanged if the message ends before them, as
     *     those of earlier versions do.
     * @throws IOException If the message is malformed.
     */
    static List<ServingEndpoint> unpackVersions(
            MessageUnpacker unpacker, List<ServingEndpoint> endpoints) throws IOException {
        if (!unpacker.hasNext()) {
            return endpoints;
        }
        if (unpacker.unpackArrayHeader() != endpoints.size()) {
            throw new IOException("Number of versions differs from that of endpoints");
        }
        List<ServingEndpoint> complete = new ArrayList<>();
        for (ServingEndpoint endpoint : endpoints) {
            complete.add(endpoint.withVersion(unpacker.unpackString()));
        }
        return complete;
    }
}
