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

/** Encodes tickets with a keyed hash that all entry instances of a deployment can check. */
public final class HmacTicketCodec implements TicketCodec {

    /** The fewest bytes of a key. */
    public static final int MINIMUM_KEY_BYTES = 16;

    /** The most characters of an encoded ticket. */
    private static final int MAXIMUM_ENCODED_CHARACTERS = 1024;

    /** The bytes of the keyed hash. */
    private static final int HASH_BYTES = 32;

    /** Writes and reads the ticket's values. */
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    /** The keyed hash. */
    private final HashFunction hashFunction;

    /**
     * Creates a new codec.
     *
     * @param key The secret key that the entry instances share.
     * @throws IllegalArgumentException If the key is shorter than {@link #MINIMUM_KEY_BYTES}.
     */
    public HmacTicketCodec(byte[] key) {
        if (key.length < MINIMUM_KEY_BYTES) {
            throw new IllegalArgumentException("Cannot use key of bytes: " + key.length);
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
        byte[] whole = Arrays.copyOf(hash(values), HASH_BYTES + values.length);
        System.arraycopy(values, 0, whole, HASH_BYTES, values.length);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(whole);
    }

    @Override
    public Ticket decode(String encoded, String workspace) throws RequestFailureException {
        if (encoded.length() > MAXIMUM_ENCODED_CHARACTERS) {
            throw refusal("it is too long");
        }
        byte[] whole;
        try {
            whole = Base64.getUrlDecoder().decode(encoded);
        } catch (IllegalArgumentException exception) {
            throw refusal("it is malformed");
        }
        if (whole.length <= HASH_BYTES) {
            throw refusal("it is malformed");
        }
        byte[] values = Arrays.copyOfRange(whole, HASH_BYTES, whole.length);
        if (!MessageDigest.isEqual(hash(values), Arrays.copyOf(whole, HASH_BYTES))) {
            throw refusal("it was not issued here");
        }
        Ticket ticket = parse(values);
        if (!ticket.workspace().equals(workspace)) {
            throw refusal("it belongs to another workspace");
        }
        return ticket;
    }

    /**
     * Reads a ticket's values.
     *
     * @param values The encoded values.
     * @return The ticket.
     * @throws RequestFailureException If the values are of another version.
     */
    private static Ticket parse(byte[] values) throws RequestFailureException {
        try {
            return MAPPER.readValue(values, Ticket.class);
        } catch (IOException exception) {
            throw refusal("its version is unknown");
        }
    }

    /**
     * Returns the keyed hash of a ticket's values.
     *
     * @param values The encoded values.
     * @return The keyed hash.
     */
    private byte[] hash(byte[] values) {
        return hashFunction.hashBytes(values).asBytes();
    }

    /**
     * Creates a failure of a ticket that no call can have been made with.
     *
     * @param why Why the ticket is refused.
     * @return The failure.
     */
    private static RequestFailureException refusal(String why) {
        return RequestFailureException.notRun(
                FailureCode.TICKET_REFUSED, "Cannot use ticket: " + why);
    }
}
