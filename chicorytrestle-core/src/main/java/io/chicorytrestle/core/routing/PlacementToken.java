package io.chicorytrestle.core.routing;

import com.google.common.hash.HashFunction;
import com.google.common.io.BaseEncoding;
import com.google.common.io.ByteArrayDataInput;
import com.google.common.io.ByteArrayDataOutput;
import com.google.common.io.ByteStreams;
import io.chicorytrestle.core.identity.ChatKey;
import io.chicorytrestle.core.identity.EndpointIdentity;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;

/**
 * Names the engine that ran a chat's last turn. The caller carries the encoded token and every
 * entry instance can verify it. It is bound to its chat and invalid for any other.
 *
 * @param engine The engine that ran the turn.
 * @param cachedTokens The tokens of the chat in the engine's cache after the turn.
 * @param issuedAtMillis The time of the turn's end in milliseconds.
 */
public record PlacementToken(EndpointIdentity engine, int cachedTokens, long issuedAtMillis) {

    /** The maximum number of characters of an encoded token. */
    public static final int MAXIMUM_LENGTH = 192;

    /** The version of the encoding. */
    private static final int VERSION = 1;

    /** The number of bytes of the message authentication code. */
    private static final int MAC_BYTES = 16;

    /** The number of bytes of the header: the version and the key identifier. */
    private static final int HEADER_BYTES = 2;

    /** The text encoding of the bytes. */
    private static final BaseEncoding ENCODING = BaseEncoding.base64Url().omitPadding();

    /**
     * Encodes this token.
     *
     * @param chat The chat that the token belongs to.
     * @param keys The keys.
     * @return The encoded token, or empty if there is no key to sign with.
     */
    public Optional<String> encode(ChatKey chat, PlacementKeys keys) {
        return keys.signingKey()
                .map(
                        key -> {
                            byte[] payload = payload(key.id());
                            ByteArrayDataOutput output = ByteStreams.newDataOutput();
                            output.write(payload);
                            output.write(computeMac(key.function(), payload, chat));
                            return ENCODING.encode(output.toByteArray());
                        });
    }

    /**
     * Decodes a token.
     *
     * @param encoded The encoded token from the caller.
     * @param chat The chat of the caller's request.
     * @param keys The keys.
     * @return The token, or empty if it is malformed, forged, signed with an unknown key or of
     *     another chat.
     */
    public static Optional<PlacementToken> decode(
            String encoded, ChatKey chat, PlacementKeys keys) {
        if (encoded.length() > MAXIMUM_LENGTH || !ENCODING.canDecode(encoded)) {
            return Optional.empty();
        }
        byte[] bytes = ENCODING.decode(encoded);
        int payloadLength = bytes.length - MAC_BYTES;
        if (payloadLength < HEADER_BYTES || bytes[0] != VERSION) {
            return Optional.empty();
        }
        byte[] payload = Arrays.copyOf(bytes, payloadLength);
        byte[] mac = Arrays.copyOfRange(bytes, payloadLength, bytes.length);
        return keys.function(Byte.toUnsignedInt(bytes[1]))
                .filter(function -> MessageDigest.isEqual(mac, computeMac(function, payload, chat)))
                .map(function -> parsePayload(payload));
    }

    /**
     * Converts this token to a hint.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The hint.
     */
    LeaderMessage.CacheHint toCacheHint(long nowMillis) {
        return new LeaderMessage.CacheHint(
                engine.name(),
                engine.incarnation(),
                cachedTokens,
                Math.max(0, nowMillis - issuedAtMillis));
    }

    /**
     * Encodes the part of this token that is authenticated.
     *
     * @param keyId The identifier of the key.
     * @return The bytes.
     */
    private byte[] payload(int keyId) {
        ByteArrayDataOutput output = ByteStreams.newDataOutput();
        output.writeByte(VERSION);
        output.writeByte(keyId);
        output.writeUTF(engine.name());
        output.writeLong(engine.incarnation());
        output.writeInt(cachedTokens);
        output.writeLong(issuedAtMillis);
        return output.toByteArray();
    }

    /**
     * Decodes a payload whose authentication code is valid.
     *
     * @param payload The bytes.
     * @return The token.
     */
    private static PlacementToken parsePayload(byte[] payload) {
        ByteArrayDataInput input = ByteStreams.newDataInput(payload, HEADER_BYTES);
        EndpointIdentity engine = new EndpointIdentity(input.readUTF(), input.readLong());
        return new PlacementToken(engine, input.readInt(), input.readLong());
    }

    /**
     * Computes the message authentication code of a token, truncated to {@link #MAC_BYTES} bytes.
     *
     * @param function The message authentication function of the key.
     * @param payload The bytes to authenticate.
     * @param chat The chat that the token belongs to.
     * @return The code.
     */
    private static byte[] computeMac(HashFunction function, byte[] payload, ChatKey chat) {
        byte[] fullMac =
                function.newHasher()
                        .putInt(payload.length)
                        .putBytes(payload)
                        .putString(chat.workspace() + '/' + chat.chat(), StandardCharsets.UTF_8)
                        .hash()
                        .asBytes();
        return Arrays.copyOf(fullMac, MAC_BYTES);
    }
}
