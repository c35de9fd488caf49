package io.chicorytrestle.gateway.link;

import io.activej.bytebuf.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;

/** Collects encoded messages, so that those of one turn of the event loop are written together. */
final class OutgoingBytes {

    /** The encoded messages. */
    private final List<byte[]> messages = new ArrayList<>();

    /** The number of bytes of all messages. */
    private int size;

    /**
     * Returns the number of bytes that were not taken.
     *
     * @return The number of bytes.
     */
    int size() {
        return size;
    }

    /**
     * Adds the messages that a codec has encoded.
     *
     * @param codec The codec, whose encoded messages are released.
     * @return The number of bytes added.
     */
    int add(EmbeddedChannel codec) {
        List<io.netty.buffer.ByteBuf> parts = new ArrayList<>();
        int length = 0;
        for (Object part = codec.readOutbound(); part != null; part = codec.readOutbound()) {
            io.netty.buffer.ByteBuf bytes = (io.netty.buffer.ByteBuf) part;
            parts.add(bytes);
            length += bytes.readableBytes();
        }
        if (length == 0) {
            parts.forEach(io.netty.buffer.ByteBuf::release);
            return 0;
        }
        byte[] joined = new byte[length];
        int offset = 0;
        for (io.netty.buffer.ByteBuf part : parts) {
            int partBytes = part.readableBytes();
            part.readBytes(joined, offset, partBytes);
            offset += partBytes;
            part.release();
        }
        messages.add(joined);
        size += length;
        return length;
    }

    /**
     * Returns and removes the first messages, at least one.
     *
     * @param maximumBytes The number of bytes after which no further message is taken.
     * @return The bytes.
     */
    ByteBuf take(int maximumBytes) {
        int count = 0;
        int length = 0;
        while (count < messages.size() && (count == 0 || length < maximumBytes)) {
            length += messages.get(count).length;
            count++;
        }
        List<byte[]> taken = messages.subList(0, count);
        byte[] joined = count == 1 ? taken.get(0) : new byte[length];
        if (count != 1) {
            int offset = 0;
            for (byte[] message : taken) {
                System.arraycopy(message, 0, joined, offset, message.length);
                offset += message.length;
            }
        }
        taken.clear();
        size -= length;
        return ByteBuf.wrapForReading(joined);
    }
}
