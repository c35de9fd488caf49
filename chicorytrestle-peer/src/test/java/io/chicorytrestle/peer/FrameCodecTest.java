package io.chicorytrestle.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.chicorytrestle.core.membership.MemberDescription;
import io.chicorytrestle.core.membership.MemberFact;
import io.chicorytrestle.core.membership.MemberKind;
import io.chicorytrestle.core.membership.MemberNotice;
import io.chicorytrestle.core.peer.PeerMessageKind;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class FrameCodecTest {

    private static final FrameCodec CODEC = FrameCodec.INSTANCE;

    private static final MemberNotice NOTICE =
            new MemberNotice(
                    List.of(
                            new MemberFact(
                                    new MemberDescription(
                                            MemberKind.ENGINE.number(),
                                            "engine-1",
                                            1_764_822_000_000L,
                                            "palermo",
                                            "10.0.0.1",
                                            9_000,
                                            "guidance",
                                            16),
                                    true,
                                    0,
                                    0,
                                    0)),
                    false);

    @Test
    void testDecodeWhenEncoded() throws PeerRejectedException {
        assertThat(CODEC.decode(CODEC.encode(NOTICE), MemberNotice.class), is(NOTICE));
    }

    @Test
    void testDecodeWhenWriterIsNewer() throws PeerRejectedException {
        byte[] bytes = CODEC.encode(new NewerRecord("a", 7, List.of("x"), "unknown"));
        assertThat(CODEC.decode(bytes, OlderRecord.class), is(new OlderRecord("a", 7)));
    }

    @Test
    void testDecodeWhenWriterIsOlder() throws PeerRejectedException {
        byte[] bytes = CODEC.encode(new OlderRecord("a", 7));
        assertThat(
                CODEC.decode(bytes, NewerRecord.class), is(new NewerRecord("a", 7, List.of(), "")));
    }

    @Test
    void testDecodeWhenLengthIsForged() {
        byte[] bytes = {(byte) 0x91, (byte) 0xc6, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1};
        assertThrows(PeerRejectedException.class, () -> CODEC.decode(bytes, Envelope.class));
    }

    @Property(tries = 500, seed = "51")
    void testDecodeWhenBytesAreArbitrary(@ForAll byte[] bytes) {
        for (PeerMessageKind kind : PeerMessageKind.values()) {
            try {
                CODEC.decode(bytes, kind.type());
            } catch (PeerRejectedException expected) {
                assertThat(expected.getMessage(), startsWith("Cannot read"));
            }
        }
    }

    @Property(tries = 500, seed = "52")
    void testDecodeWhenOneByteIsChanged(@ForAll int position, @ForAll byte newByte) {
        byte[] bytes = CODEC.encode(NOTICE);
        bytes[Math.floorMod(position, bytes.length)] = newByte;
        try {
            CODEC.decode(bytes, MemberNotice.class);
        } catch (PeerRejectedException expected) {
            assertThat(expected.getMessage(), startsWith("Cannot read"));
        }
    }

    @Property(tries = 300, seed = "53")
    void testVerifyMacWhenFrameIsForged(@ForAll byte[] forged) {
        FrameAuthenticator authenticator = new FrameAuthenticator(new byte[32]);
        assertThrows(PeerRejectedException.class, () -> authenticator.verifyMac(forged));
    }

    @Test
    void testVerifyMacWhenFrameIsRepeated() throws PeerRejectedException {
        FrameAuthenticator outbound = new FrameAuthenticator(new byte[32]);
        FrameAuthenticator inbound = new FrameAuthenticator(new byte[32]);
        byte[] frame = outbound.appendMac(new byte[] {1, 2, 3});
        assertThat(inbound.verifyMac(frame), is(new byte[] {1, 2, 3}));
        assertThrows(PeerRejectedException.class, () -> inbound.verifyMac(frame));
    }

    record OlderRecord(String name, int number) {}

    record NewerRecord(String name, int number, List<String> list, String text) {}
}
