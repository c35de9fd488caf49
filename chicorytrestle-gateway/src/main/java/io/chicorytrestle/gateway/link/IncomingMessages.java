package io.chicorytrestle.gateway.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Holds what a connection has received until it is delivered: the bytes of the last read and the
 * messages that were decoded from them.
 */
final class IncomingMessages {

    /** The number of undelivered messages from which no more bytes are read. */
    private static final int MAXIMUM_PENDING_MESSAGES = 256;

    /** The number of bytes that are decoded at once, which bounds the messages that they become. */
    private static final int MAXIMUM_DECODED_BYTES = 4_096;

    /**
     * The number of undecoded bytes from which no more are read while delivery is suspended. They
     * are not decoded, since header lines cost many times their bytes.
     */
    private static final int MAXIMUM_BYTES_AHEAD = 16_384;

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
     * Adds the bytes of a read.
     *
     * @param bytes The bytes.
     */
    void add(byte[] bytes) {
        int rest = received.length - decodedBytes;
        if (rest == 0) {
            received = bytes;
        } else {
            byte[] joined =
                    Arrays.copyOfRange(received, decodedBytes, received.length + bytes.length);
            System.arraycopy(bytes, 0, joined, rest, bytes.length);
            received = joined;
        }
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
     * @return {@code false} if nothing is left to decode, messages are kept or too many are
     *     pending.
     */
    boolean decode() {
        if (isSuspended || hasTooManyMessages()) {
            return false;
        }
        if (decodedBytes < received.length) {
            int length = Math.min(received.length - decodedBytes, MAXIMUM_DECODED_BYTES);
            ByteBuf part = Unpooled.wrappedBuffer(received, decodedBytes, length);
            decodedBytes += length;
            if (decodedBytes == received.length) {
                received = NO_BYTES;
                decodedBytes = 0;
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
     * @return {@code true} if too many undecoded bytes or messages are pending.
     */
    boolean forbidsReading() {
        int undecodedBytes = received.length - decodedBytes;
        return undecodedBytes >= (isSuspended ? MAXIMUM_BYTES_AHEAD : 1) || hasTooManyMessages();
    }

    /**
     * Returns {@code true} if too many messages are pending.
     *
     * @return {@code true} if no more bytes are decoded.
     */
    private boolean hasTooManyMessages() {
        return codec.inboundMessages().size() >= MAXIMUM_PENDING_MESSAGES;
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
        int messageBytes =
                codec.inboundMessages().stream()
                        .mapToInt(message -> HeaderCost.of((HttpObject) message))
                        .sum();
        return received.length + messageBytes;
    }
}
