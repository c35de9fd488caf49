package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.stream.StreamOrigin;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the messages about the origins of streams. */
final class StreamCodec {

    /** Prevents instantiation. */
    private StreamCodec() {}

    /**
     * Writes a notice.
     *
     * @param packer Receives the fields.
     * @param notice The notice.
     * @throws IOException Never, since the output is memory.
     */
    static void pack(MessageBufferPacker packer, StreamNotice notice) throws IOException {
        packer.packMapHeader(notice.ids().size());
        for (Map.Entry<StreamOrigin, List<String>> ids : notice.ids().entrySet()) {
            pack(packer, ids.getKey());
            FleetCodec.packStrings(packer, ids.getValue());
        }
    }

    /**
     * Reads a notice.
     *
     * @param unpacker Supplies the fields.
     * @return The notice.
     * @throws IOException If the message is malformed.
     */
    static StreamNotice unpackNotice(MessageUnpacker unpacker) throws IOException {
        Map<StreamOrigin, List<String>> ids = new HashMap<>();
        for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
            ids.put(unpackOrigin(unpacker), FleetCodec.unpackStrings(unpacker));
        }
        return new StreamNotice(ids);
    }

    /**
     * Writes a reply.
     *
     * @param packer Receives the fields.
     * @param reply The reply.
     * @throws IOException Never, since the output is memory.
     */
    static void pack(MessageBufferPacker packer, StreamReply reply) throws IOException {
        packer.packLong(reply.number());
        packer.packBoolean(reply.origin().isPresent());
        if (reply.origin().isPresent()) {
            pack(packer, reply.origin().get());
        }
    }

    /**
     * Reads a reply.
     *
     * @param unpacker Supplies the fields.
     * @return The reply.
     * @throws IOException If the message is malformed.
     */
    static StreamReply unpackReply(MessageUnpacker unpacker) throws IOException {
        long number = unpacker.unpackLong();
        return new StreamReply(
                number,
                unpacker.unpackBoolean() ? Optional.of(unpackOrigin(unpacker)) : Optional.empty());
    }

    /**
     * Writes an origin.
     *
     * @param packer Receives the fields.
     * @param origin The origin.
     * @throws IOException Never, since the output is memory.
     */
    private static void pack(MessageBufferPacker packer, StreamOrigin origin) throws IOException {
        packer.packString(origin.service());
        packer.packString(origin.version());
    }

    /**
     * Reads an origin.
     *
     * @param unpacker Supplies the fields.
     * @return The origin.
     * @throws IOException If the message is malformed.
     */
    private static StreamOrigin unpackOrigin(MessageUnpacker unpacker) throws IOException {
        return new StreamOrigin(unpacker.unpackString(), unpacker.unpackString());
    }
}
