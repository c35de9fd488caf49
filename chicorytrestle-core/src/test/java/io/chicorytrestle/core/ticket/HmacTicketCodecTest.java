package io.chicorytrestle.core.ticket;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class HmacTicketCodecTest {

    private final TicketCodec codec = new HmacTicketCodec(new byte[16]);

    private final Ticket ticket =
            new Ticket(new InstanceIdentity("entry", "palermo", 3), "sicilia", 7, 1_000);

    @Test
    void testDecodeWhenValid() throws Exception {
        assertThat(codec.decode(codec.encode(ticket), "sicilia"), is(ticket));
    }

    @Test
    void testDecodeWhenWorkspaceDiffers() {
        assertThat(refusalCode(codec.encode(ticket), "norte"), is(FailureCode.TICKET_REFUSED));
    }

    @Test
    void testDecodeWhenKeyDiffers() {
        byte[] key = new byte[16];
        key[0] = 1;
        String forged = new HmacTicketCodec(key).encode(ticket);
        assertThat(refusalCode(forged, "sicilia"), is(FailureCode.TICKET_REFUSED));
    }

    @Property(tries = 200, seed = "11")
    void testDecodeWhenOneCharacterDiffers(
            @ForAll @IntRange(max = 200) int position,
            @ForAll @IntRange(min = 1, max = 63) int offset) {
        String alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
        StringBuilder forged = new StringBuilder(codec.encode(ticket));
        int index = position % (forged.length() - 1);
        int changedIndex = (alphabet.indexOf(forged.charAt(index)) + offset) % alphabet.length();
        forged.setCharAt(index, alphabet.charAt(changedIndex));
        assertThat(refusalCode(forged.toString(), "sicilia"), is(FailureCode.TICKET_REFUSED));
    }

    @Property(tries = 200, seed = "12")
    void testDecodeWhenArbitrary(@ForAll String text) {
        assertThat(refusalCode(text, "sicilia"), is(FailureCode.TICKET_REFUSED));
    }

    private FailureCode refusalCode(String encoded, String workspace) {
        return assertThrows(RequestFailureException.class, () -> codec.decode(encoded, workspace))
                .code();
    }
}
