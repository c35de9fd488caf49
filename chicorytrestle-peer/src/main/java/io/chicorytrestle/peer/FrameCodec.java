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
 * Encodes records as MessagePack arrays of their components. Components that a reader does not know
 * are skipped, those that a writer did not know are zero or empty.
 */
public enum FrameCodec {

    /** The singleton instance. */
    INSTANCE;

    /** The bits that a byte of a length carries. */
    private static final int LENGTH_BITS = 7;

    /** The bits of an integer. */
    private static final int INTEGER_BITS = 32;

    /** A correlation of usual length, to measure messages. */
    private static final long TYPICAL_CORRELATION = 1_000;

    /** Encodes and decodes. */
    private static final ObjectMapper MAPPER = createMapper();

    /**
     * Creates the mapper that encodes and decodes.
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
     * @return The bytes.
     * @throws IllegalArgumentException If the record cannot be encoded.
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
     * Encodes a message.
     *
     * @param message The message, a record.
     * @return The bytes.
     */
    byte[] encodeMessage(PeerMessage message) {
        return encode((Record) message);
    }

    /**
     * Decodes a record. No length in the bytes is trusted before it was checked.
     *
     * @param bytes The bytes.
     * @param type The type of the record.
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
     * Returns the bytes that a message takes between instances, all wrapping included.
     *
     * @param message The message.
     * @return The bytes of its frame.
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
     * Returns the bytes that an encoded envelope takes between instances.
     *
     * @param envelopeBytes The bytes of the encoded envelope.
     * @return The bytes of its frame.
     */
    int frameBytes(int envelopeBytes) {
        int sealed = envelopeBytes + FrameAuthenticator.MAC_BYTES;
        int lengthBits = INTEGER_BITS - Integer.numberOfLeadingZeros(sealed);
        return sealed + (lengthBits + LENGTH_BITS - 1) / LENGTH_BITS;
    }

    /**
     * Checks that bytes hold exactly one value, without allocating what they announce.
     *
     * @param bytes The bytes.
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
