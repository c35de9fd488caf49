package io.chicorytrestle.core.ticket;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;

/**
 * Encodes tickets with an HMAC that all entry instances of a deployment can verify. An encoded
 * ticket is the Base64url text of the HMAC, followed by the ticket's values as JSON.
 */
public final class HmacTicketCodec implements TicketCodec {

    /** The minimum length of a key in bytes. */
    public static final int MINIMUM_KEY_BYTES = 16;

    /** The maximum length of an encoded ticket in characters. */
    private static final int MAXIMUM_ENCODED_CHARACTERS = 1024;

    /** The length of an HMAC with SHA-256 in bytes. */
    private static final int HASH_BYTES = 32;

    /** Converts the values of a ticket to JSON and back. */
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    /** The HMAC function. */
    private final HashFunction hashFunction;

    /**
     * Creates a new codec.
     *
     * @param key The secret key that the entry instances share.
     * @throws IllegalArgumentException If the key is shorter than {@link #MINIMUM_KEY_BYTES}.
     */
    public HmacTicketCodec(byte[] key) {
        if (key.length < MINIMUM_KEY_BYTES) {
            throw new IllegalArgumentException(
                    "Ticket key is too short, length in bytes: " + key.length);
        }
        hashFunction = Hashing.hmacSha256(key);
    }

    @Override
    public String encode(Ticket ticket) {
        byte[] values;
        try {
            values = MAPPER.writeValueAsBytes(ticket);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        byte[] signed = Arrays.copyOf(hash(values), HASH_BYTES + values.length);
        System.arraycopy(values, 0, signed, HASH_BYTES, values.length);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(signed);
    }

    @Override
    public Ticket decode(String encoded, String workspace) throws RequestFailureException {
        if (encoded.length() > MAXIMUM_ENCODED_CHARACTERS) {
            throw refusal("it is too long");
        }
        byte[] signed;
        try {
            signed = Base64.getUrlDecoder().decode(encoded);
        } catch (IllegalArgumentException exception) {
            throw refusal("it is malformed");
        }
        if (signed.length <= HASH_BYTES) {
            throw refusal("it is malformed");
        }
        byte[] values = Arrays.copyOfRange(signed, HASH_BYTES, signed.length);
        if (!MessageDigest.isEqual(hash(values), Arrays.copyOf(signed, HASH_BYTES))) {
            throw refusal("it was not issued here");
        }
        Ticket ticket = parse(values);
        if (!ticket.workspace().equals(workspace)) {
            throw refusal("it belongs to another workspace");
        }
        return ticket;
    }

    /**
     * Parses the values of a ticket.
     *
     * @param values The values as JSON.
     * @return The ticket.
     * @throws RequestFailureException If the values can't be parsed, as those of another version.
     */
    private static Ticket parse(byte[] values) throws RequestFailureException {
        try {
            return MAPPER.readValue(values, Ticket.class);
        } catch (IOException exception) {
            throw refusal("its version is unknown");
        }
    }

    /**
     * Returns the HMAC of a ticket's values.
     *
     * @param values The values as JSON.
     * @return The HMAC.
     */
    private byte[] hash(byte[] values) {
        return hashFunction.hashBytes(values).asBytes();
    }

    /**
     * Creates the failure for a ticket that is refused. Its verdict is not run, since no call can
     * have been made with the ticket.
     *
     * @param reason The reason for the refusal, a clause.
     * @return The failure.
     */
    private static RequestFailureException refusal(String reason) {
        return RequestFailureException.notRun(
                FailureCode.TICKET_REFUSED, "Cannot use ticket: " + reason);
    }
}
