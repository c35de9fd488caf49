package io.chicorytrestle.gateway.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import org.jspecify.annotations.Nullable;

/**
 * Holds what a connection has received until it is delivered: the bytes of the last read and the
 * messages that were decoded from them.
 */
final class IncomingMessages {

    /** The number of undelivered messages from which no more bytes are read. */
    private static final int MAXIMUM_PENDING_MESSAGES = 256;

    /** The same while delivery is suspended. */
    private static final int MAXIMUM_MESSAGES_AHEAD = 64;

    /** The number of bytes that are decoded at once, which bounds the messages that they become. */
    private static final int MAXIMUM_DECODED_BYTES = 4_096;

    /** The same while delivery is suspended. */
    private static final int MAXIMUM_DECODED_BYTES_AHEAD = 512;

    /** The memory of an undelivered message in bytes, roughly: a head with its headers. */
    private static final int MESSAGE_COST_BYTES = 1_024;

    /** The received bytes while there are none. */
    private static final byte[] NO_BYTES = {};

    /** Decodes the bytes and holds the messages. */
    private final EmbeddedChannel codec;

    /** The bytes received and not decoded yet. */
    private byte[] received = NO_BYTES;

    /** The number of received bytes that were decoded. */
    private int decodedBytes;

    /** Whether messages are kept instead of delivered. */
    private boolean isSuspended;

    /** Whether the peer closed its sending side. */
    private boolean isInputEnded;

    /** Whether the decoder was told that the peer closed its sending side. */
    private boolean isDecoderFinished;

    /**
     * Creates an empty holder.
     *
     * @param codec Decodes the bytes and holds the messages.
     */
    IncomingMessages(EmbeddedChannel codec) {
        this.codec = codec;
    }

    /**
     * Sets whether messages are kept instead of delivered.
     *
     * @param suspended Whether messages are kept.
     */
    void setSuspended(boolean suspended) {
        isSuspended = suspended;
    }

    /**
     * Adds the bytes of a read, before which all others were decoded.
     *
     * @param bytes The bytes.
     */
    void add(byte[] bytes) {
        received = bytes;
        decodedBytes = 0;
    }

    /** Records that the peer closed its sending side. */
    void end() {
        isInputEnded = true;
    }

    /**
     * Returns {@code true} if the peer closed its sending side.
     *
     * @return {@code true} if nothing more is received.
     */
    boolean isEnded() {
        return isInputEnded;
    }

    /**
     * Returns and removes the next message that is to be delivered.
     *
     * @return The message, or null if there is none or they are kept.
     */
    @Nullable HttpObject next() {
        return isSuspended ? null : codec.readInbound();
    }

    /**
     * Decodes a part of the received bytes, or the end of the stream after all of them.
     *
     * @return {@code false} if nothing is left to decode or too many messages are pending.
     */
    boolean decode() {
        if (hasTooManyMessages()) {
            return false;
        }
        if (decodedBytes < received.length) {
            int maximum = isSuspended ? MAXIMUM_DECODED_BYTES_AHEAD : MAXIMUM_DECODED_BYTES;
            int length = Math.min(received.length - decodedBytes, maximum);
            ByteBuf part = Unpooled.wrappedBuffer(received, decodedBytes, length);
            decodedBytes += length;
            if (decodedBytes == received.length) {
                add(NO_BYTES);
            }
            codec.writeInbound(part);
            return true;
        }
        if (isInputEnded && !isDecoderFinished) {
            isDecoderFinished = true;
            codec.finish();
            return true;
        }
        return false;
    }

    /**
     * Returns {@code true} if what is not delivered yet forbids to read more.
     *
     * @return {@code true} if undecoded bytes are left or too many messages are pending.
     */
    boolean forbidsReading() {
        return decodedBytes < received.length || hasTooManyMessages();
    }

    /**
     * Returns {@code true} if too many messages are pending.
     *
     * @return {@code true} if no more bytes are decoded.
     */
    private boolean hasTooManyMessages() {
        int maximum = isSuspended ? MAXIMUM_MESSAGES_AHEAD : MAXIMUM_PENDING_MESSAGES;
        return codec.inboundMessages().size() >= maximum;
    }

    /**
     * Returns {@code true} if messages or bytes have not been delivered yet.
     *
     * @return {@code true} if at least one decoded message or one undecoded byte is pending.
     */
    boolean isPending() {
        return decodedBytes < received.length || !codec.inboundMessages().isEmpty();
    }

    /**
     * Returns the memory of what is pending.
     *
     * @return The number of bytes, roughly.
     */
    int costBytes() {
        return received.length + codec.inboundMessages().size() * MESSAGE_COST_BYTES;
    }
}
