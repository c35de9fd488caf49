package io.chicorytrestle.peer;

import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.chicorytrestle.core.peer.MessagePriority;
import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.peer.PeerMessageKind;
import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Encodes records as MessagePack arrays of their components. For compatibility between versions, a
 * reader skips trailing components that it doesn't know, and reads missing ones as zero or empty.
 */
public enum FrameCodec {

    /** The singleton instance. */
    INSTANCE;

    /** The number of length bits in each byte of a varint. */
    private static final int LENGTH_BITS = 7;

    /** The number of bits in an {@code int}. */
    private static final int INTEGER_BITS = 32;

    /** A correlation number of typical encoded length, to compute the size of a message's frame. */
    private static final long TYPICAL_CORRELATION = 1_000;

    /** Converts between records and MessagePack. */
    private static final ObjectMapper MAPPER = createMapper();

    /**
     * Creates the mapper. Nulls and missing components are read as empty strings, lists and arrays.
     *
     * @return The mapper.
     */
    private static ObjectMapper createMapper() {
        ObjectMapper mapper =
                MessagePackMapper.builder()
                        .annotationIntrospector(new JsonArrayFormat())
                        .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
                        .build();
        JsonSetter.Value asEmpty = JsonSetter.Value.forValueNulls(Nulls.AS_EMPTY);
        mapper.configOverride(String.class).setSetterInfo(asEmpty);
        mapper.configOverride(List.class).setSetterInfo(asEmpty);
        mapper.configOverride(byte[].class).setSetterInfo(asEmpty);
        return mapper;
    }

    /**
     * Encodes a record.
     *
     * @param value The record.
     * @return The encoded record.
     * @throws IllegalArgumentException If the record can't be encoded.
     */
    byte[] encode(Record value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException(
                    "Cannot encode record: " + value.getClass(), exception);
        }
    }

    /**
     * Encodes a message without its envelope.
     *
     * @param message The message, which must be a record.
     * @return The encoded message.
     */
    byte[] encodeMessage(PeerMessage message) {
        return encode((Record) message);
    }

    /**
     * Decodes a record. The bytes are validated first, so that a forged length can't cause a large
     * allocation.
     *
     * @param bytes The encoded record.
     * @param type The class of the record.
     * @param <T> The type of the record.
     * @return The record.
     * @throws PeerRejectedException If the bytes are malformed.
     */
    <T> T decode(byte[] bytes, Class<T> type) throws PeerRejectedException {
        checkSingleValue(bytes);
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                throw new PeerRejectedException("Cannot read nothing as: " + type.getSimpleName());
            }
            return value;
        } catch (IOException | RuntimeException exception) {
            throw new PeerRejectedException("Cannot read: " + type.getSimpleName(), exception);
        }
    }

    /**
     * Returns the size of a message's frame, with envelope, MAC and length prefix.
     *
     * @param message The message.
     * @return The size of the frame in bytes, for a correlation number of typical length.
     */
    public int frameBytes(PeerMessage message) {
        Envelope envelope =
                new Envelope(
                        Envelope.FrameType.ASK,
                        MessagePriority.BACKGROUND,
                        TYPICAL_CORRELATION,
                        PeerMessageKind.of(message).number(),
                        encodeMessage(message));
        return frameBytes(encode(envelope).length);
    }

    /**
     * Returns the size of an encoded envelope's frame, with MAC and length prefix.
     *
     * @param envelopeBytes The size of the encoded envelope in bytes.
     * @return The size of the frame in bytes.
     */
    int frameBytes(int envelopeBytes) {
        int authenticatedBytes = envelopeBytes + FrameAuthenticator.MAC_BYTES;
        int lengthBits = INTEGER_BITS - Integer.numberOfLeadingZeros(authenticatedBytes);
        return authenticatedBytes + (lengthBits + LENGTH_BITS - 1) / LENGTH_BITS;
    }

    /**
     * Checks that bytes hold exactly one MessagePack value, without allocating the lengths that
     * they declare.
     *
     * @param bytes The encoded value.
     * @throws PeerRejectedException If the bytes are malformed.
     */
    private static void checkSingleValue(byte[] bytes) throws PeerRejectedException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            unpacker.skipValue();
            if (unpacker.getTotalReadBytes() != bytes.length) {
                throw new PeerRejectedException("Cannot read frame with trailing bytes");
            }
        } catch (IOException | RuntimeException exception) {
            throw new PeerRejectedException("Cannot read malformed frame", exception);
        }
    }
}
