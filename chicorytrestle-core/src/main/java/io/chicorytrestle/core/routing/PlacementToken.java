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
 * Tells where a chat's last turn ran, in a form that the caller carries and every entry instance
 * verifies. It is bound to its chat, so that it is worth nothing for another one.
 *
 * @param engine The engine that ran the turn.
 * @param cachedTokens The tokens that the engine held after the turn.
 * @param issuedAtMillis The time of the turn's end in milliseconds.
 */
public record PlacementToken(EndpointIdentity engine, int cachedTokens, long issuedAtMillis) {

    /** The most characters of an encoded token. */
    public static final int MAXIMUM_LENGTH = 192;

    /** The version of the encoding. */
    private static final int VERSION = 1;

    /** The bytes of the authentication code. */
    private static final int MAC_BYTES = 16;

    /** The bytes that come before the authentication code at least. */
    private static final int HEADER_BYTES = 2;

    /** The text form of the bytes. */
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
                            byte[] body = payload(key.id());
                            ByteArrayDataOutput output = ByteStreams.newDataOutput();
                            output.write(body);
                            output.write(computeMac(key.function(), body, chat));
                            return ENCODING.encode(output.toByteArray());
                        });
    }

    /**
     * Decodes a token.
     *
     * @param encoded The encoded token as the caller presented it.
     * @param chat The chat that the caller presented it for.
     * @param keys The keys.
     * @return The token, or empty if it is malformed, forged or of another chat.
     */
    public static Optional<PlacementToken> decode(
            String encoded, ChatKey chat, PlacementKeys keys) {
        if (encoded.length() > MAXIMUM_LENGTH || !ENCODING.canDecode(encoded)) {
            return Optional.empty();
        }
        byte[] bytes = ENCODING.decode(encoded);
        int length = bytes.length - MAC_BYTES;
        if (length < HEADER_BYTES || bytes[0] != VERSION) {
            return Optional.empty();
        }
        byte[] body = Arrays.copyOf(bytes, length);
        byte[] code = Arrays.copyOfRange(bytes, length, bytes.length);
        return keys.function(Byte.toUnsignedInt(bytes[1]))
                .filter(function -> MessageDigest.isEqual(code, computeMac(function, body, chat)))
                .map(function -> parsePayload(body));
    }

    /**
     * Returns what this token claims.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The claim.
     */
    LeaderMessage.CacheHint toCacheHint(long nowMillis) {
        return new LeaderMessage.CacheHint(
                engine.name(),
                engine.incarnation(),
                cachedTokens,
                Math.max(0, nowMillis - issuedAtMillis));
    }

    /**
     * Returns the bytes of this token that are authenticated.
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
     * Reads authenticated bytes.
     *
     * @param body The bytes.
     * @return The token.
     */
    private static PlacementToken parsePayload(byte[] body) {
        ByteArrayDataInput input = ByteStreams.newDataInput(body, HEADER_BYTES);
        EndpointIdentity engine = new EndpointIdentity(input.readUTF(), input.readLong());
        return new PlacementToken(engine, input.readInt(), input.readLong());
    }

    /**
     * Computes the authentication code of a token.
     *
     * @param function The function of the key.
     * @param body The bytes of the token.
     * @param chat The chat that the token belongs to.
     * @return The code.
     */
    private static byte[] computeMac(HashFunction function, byte[] body, ChatKey chat) {
        byte[] whole =
                function.newHasher()
                        .putInt(body.length)
                        .putBytes(body)
                        .putString(chat.workspace() + '/' + chat.chat(), StandardCharsets.UTF_8)
                        .hash()
                        .asBytes();
        return Arrays.copyOf(whole, MAC_BYTES);
    }
}
