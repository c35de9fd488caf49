package io.chicorytrestle.gateway.fleet;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.msgpack.core.ExtensionTypeHeader;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Encodes and decodes published routing tables, as a part of messages. A large table is compressed,
 * since instances with slow links relay it to several others. The two forms are told apart by their
 * type: a plain table is a binary, a compressed one an extension that holds the size of the table
 * and its bytes in the zlib format.
 */
final class TableBytes {

    /** The size in bytes from which on a table is compressed. */
    static final int MINIMUM_COMPRESSED_BYTES = 4_096;

    /** The largest size in bytes of a table that is accepted. */
    static final int MAXIMUM_TABLE_BYTES = FleetConnection.MAXIMUM_FRAME_BYTES;

    /** The extension type of a compressed table. */
    static final byte COMPRESSED = 1;

    /** The bytes that hold the size of the table. */
    private static final int SIZE_BYTES = Integer.BYTES;

    /** The largest factor by which the zlib format can shorten bytes. */
    private static final int MAXIMUM_RATIO = 1_032;

    /** Prevents instantiation. */
    private TableBytes() {}

    /**
     * Writes a table.
     *
     * @param packer Receives the table.
     * @param table The table as it was published; the position of the buffer is unchanged.
     * @throws IOException Never, since the output is memory.
     */
    static void pack(MessageBufferPacker packer, ByteBuffer table) throws IOException {
        byte[] published = new byte[table.remaining()];
        table.duplicate().get(published);
        if (published.length < MINIMUM_COMPRESSED_BYTES) {
            packer.packBinaryHeader(published.length);
            packer.writePayload(published);
            return;
        }
        byte[] compressed = compress(published);
        packer.packExtensionTypeHeader(COMPRESSED, SIZE_BYTES + compressed.length);
        packer.writePayload(ByteBuffer.allocate(SIZE_BYTES).putInt(published.length).array());
        packer.writePayload(compressed);
    }

    /**
     * Compresses bytes.
     *
     * @param plain The bytes.
     * @return The bytes in the zlib format.
     */
    private static byte[] compress(byte[] plain) {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(plain);
            deflater.finish();
            byte[] compressed = new byte[plain.length];
            int size = 0;
            while (!deflater.finished()) {
                if (size == compressed.length) {
                    compressed = Arrays.copyOf(compressed, compressed.length * 2);
                }
                size += deflater.deflate(compressed, size, compressed.length - size);
            }
            return Arrays.copyOf(compressed, size);
        } finally {
            deflater.end();
        }
    }

    /**
     * Reads a table.
     *
     * @param unpacker Supplies the table.
     * @return The table as it was published.
     * @throws IOException If the table is malformed or too large.
     */
    static ByteBuffer unpack(MessageUnpacker unpacker) throws IOException {
        if (unpacker.getNextFormat().getValueType() != ValueType.EXTENSION) {
            return ByteBuffer.wrap(readPayload(unpacker, unpacker.unpackBinaryHeader()));
        }
        ExtensionTypeHeader header = unpacker.unpackExtensionTypeHeader();
        if (header.getType() != COMPRESSED || header.getLength() < SIZE_BYTES) {
            throw new IOException(
                    "Table has the unknown type "
                            + header.getType()
                            + " of "
                            + header.getLength()
                            + " bytes");
        }
        byte[] payload = readPayload(unpacker, header.getLength());
        int size = ByteBuffer.wrap(payload).getInt();
        if (size < 0
                || size > MAXIMUM_TABLE_BYTES
                || size > (long) MAXIMUM_RATIO * (payload.length - SIZE_BYTES)) {
            throw new IOException(
                    "Table of " + payload.length + " bytes states an impossible size: " + size);
        }
        return ByteBuffer.wrap(expand(payload, size));
    }

    /**
     * Reads bytes.
     *
     * @param unpacker Supplies the bytes.
     * @param length The number of bytes that the message states.
     * @return The bytes.
     * @throws IOException If there are fewer, or more than a message may hold.
     */
    private static byte[] readPayload(MessageUnpacker unpacker, int length) throws IOException {
        if (length > MAXIMUM_TABLE_BYTES) {
            throw new IOException("Table of " + length + " bytes is too large");
        }
        return unpacker.readPayload(length);
    }

    /**
     * Expands a table.
     *
     * @param payload The size of the table and its bytes in the zlib format.
     * @param size The size.
     * @return The table, of exactly that size.
     * @throws IOException If the bytes are malformed, or are those of a table of another size.
     */
    private static byte[] expand(byte[] payload, int size) throws IOException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(payload, SIZE_BYTES, payload.length - SIZE_BYTES);
            byte[] table = new byte[size];
            int expanded = 0;
            int step = 1;
            while (expanded < size && step > 0) {
                step = inflater.inflate(table, expanded, size - expanded);
                expanded += step;
            }
            // The end of the format, with its checksum, produces no bytes.
            boolean hasMore = inflater.inflate(new byte[1]) > 0;
            if (expanded != size
                    || hasMore
                    || !inflater.finished()
                    || inflater.getRemaining() > 0) {
                throw new IOException("Compressed table does not have the stated size: " + size);
            }
            return table;
        } catch (DataFormatException exception) {
            throw new IOException("Compressed table is malformed", exception);
        } finally {
            inflater.end();
        }
    }
}
