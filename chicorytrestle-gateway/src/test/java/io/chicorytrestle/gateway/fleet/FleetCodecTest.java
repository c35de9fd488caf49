package io.chicorytrestle.gateway.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.chicorytrestle.core.fleet.StoreContact;
import io.chicorytrestle.core.placement.ColdReport;
import io.chicorytrestle.core.placement.Evacuations;
import io.chicorytrestle.core.placement.Outcomes;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.core.poison.CrashNotice;
import io.chicorytrestle.core.poison.PartCrashNotice;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FleetCodecTest {

    private static final PeerAddress SENDER = new PeerAddress("a", "10.0.0.1:9", "z");

    private static final ServingEndpoint ENDPOINT =
            new ServingEndpoint("e", "s", "10.0.0.2:8", "z", 64, true, 1_700_000_000_000L);

    private static final Evacuations EVACUATIONS = new Evacuations(1_000, Set.of("x", "z"));

    @Test
    void testDecodeWhenHeartbeat() throws IOException {
        Heartbeat heartbeat =
                new Heartbeat(
                        SENDER,
                        -5,
                        7,
                        412,
                        true,
                        StoreContact.READING,
                        Map.of("e@1", 3),
                        Map.of("e@1", new Outcomes(2.5, 0.5)),
                        List.of("f@2"),
                        List.of(
                                new CrashNotice("ab12", List.of("e@1")),
                                new CrashNotice("cd34", List.of()),
                                new CrashNotice("ef56", Map.of("e@1", 70L), List.of("f@2"))),
                        List.of(new PeerAddress("b", "10.0.0.3:9", "y")),
                        Map.of("e@1", List.of("m/1", "m/2")),
                        List.of(new PartCrashNotice("5c1e", List.of("e@1", "f@2"), 4)),
                        EVACUATIONS);

        assertThat(FleetCodec.decode(FleetCodec.encode(heartbeat)), equalTo(heartbeat));
    }

    @Test
    void testDecodeWhenHeartbeatIsOfAnEarlierVersion() throws IOException {
        byte[] encoded =
                encodeWithoutEvacuations(
                        heartbeat(
                                List.of(
                                        new CrashNotice("ab12", Map.of("e@1", 0L), List.of()),
                                        new CrashNotice("cd34", Map.of(), List.of("f@2")))));
        Heartbeat expected =
                heartbeat(
                        List.of(
                                new CrashNotice("ab12", List.of("e@1")),
                                new CrashNotice("cd34", List.of())));
        int recordBytes = 24;

        assertThat(
                FleetCodec.decode(Arrays.copyOf(encoded, encoded.length - recordBytes)),
                equalTo(expected));
        for (int missing = 1; missing < recordBytes; missing++) {
            byte[] truncated = Arrays.copyOf(encoded, encoded.length - missing);
            assertThrows(IOException.class, () -> FleetCodec.decode(truncated));
        }
    }

    @Test
    void testDecodeWhenAgeOfCrashIsNegative() {
        byte[] encoded =
                encodeWithoutEvacuations(
                        heartbeat(List.of(new CrashNotice("ab12", Map.of("e@1", 5L), List.of()))));
        encoded[encoded.length - 2] = -1;

        assertThrows(IOException.class, () -> FleetCodec.decode(encoded));
    }

    private static Heartbeat heartbeat(List<CrashNotice> crashes) {
        return new Heartbeat(
                SENDER,
                1,
                1,
                1,
                false,
                StoreContact.FOLLOWING,
                Map.of(),
                Map.of(),
                List.of(),
                crashes,
                List.of(),
                Map.of(),
                List.of(),
                Evacuations.UNKNOWN);
    }

    /** Encodes a message as instances of an earlier version do. */
    private static byte[] encodeWithoutEvacuations(FleetMessage message) {
        byte[] encoded = FleetCodec.encode(message);
        int evacuationBytes = 2;
        return Arrays.copyOf(encoded, encoded.length - evacuationBytes);
    }

    @Test
    void testDecodeWhenEvacuationNotice() throws IOException {
        EvacuationNotice notice = new EvacuationNotice("a", EVACUATIONS);
        byte[] encoded = FleetCodec.encode(notice);

        assertThat(FleetCodec.decode(encoded), equalTo(notice));
        byte[] truncated = Arrays.copyOf(encoded, encoded.length - 1);
        assertThrows(IOException.class, () -> FleetCodec.decode(truncated));
    }

    @Test
    void testDecodeWhenRevisionOfEvacuationsIsNegative() {
        byte[] encoded = FleetCodec.encode(new EvacuationNotice("a", new Evacuations(5, Set.of())));
        encoded[encoded.length - 2] = -1;

        assertThrows(IOException.class, () -> FleetCodec.decode(encoded));
    }

    @Test
    void testDecodeWhenPublishedTable() throws IOException {
        PublishedTable published = new PublishedTable("a", ByteBuffer.wrap(new byte[] {1, 2}));

        assertThat(FleetCodec.decode(FleetCodec.encode(published)), equalTo(published));
    }

    @Test
    void testDecodeWhenAcknowledgement() throws IOException {
        assertThat(
                FleetCodec.decode(FleetCodec.encode(Acknowledgement.INSTANCE)),
                equalTo(Acknowledgement.INSTANCE));
    }

    @Test
    void testDecodeWhenSnapshot() throws IOException {
        Snapshot snapshot =
                new Snapshot(
                        "a",
                        ByteBuffer.wrap(new byte[] {1, 2}),
                        9,
                        List.of(ENDPOINT),
                        List.of(new CrashNotice("ab12", Map.of("e@1", 70L), List.of("f@2"))),
                        List.of(new PartCrashNotice("5c1e", List.of("e@1"), 4, 90)),
                        List.of(new ColdReport("e@1", 8, 2_500)),
                        EVACUATIONS);

        assertThat(FleetCodec.decode(FleetCodec.encode(snapshot)), equalTo(snapshot));
    }

    @Test
    void testDecodeWhenSnapshotIsOfAnEarlierVersion() throws IOException {
        Snapshot snapshot =
                new Snapshot(
                        "a",
                        ByteBuffer.allocate(0),
                        9,
                        List.of(ENDPOINT),
                        List.of(new CrashNotice("ab12", List.of())),
                        List.of(),
                        List.of(),
                        Evacuations.UNKNOWN);
        byte[] encoded = encodeWithoutEvacuations(snapshot);
        int recordBytes = 10;

        assertThat(
                FleetCodec.decode(Arrays.copyOf(encoded, encoded.length - recordBytes)),
                equalTo(
                        new Snapshot(
                                "a",
                                ByteBuffer.allocate(0),
                                9,
                                List.of(ENDPOINT),
                                List.of(),
                                List.of(),
                                List.of(),
                                Evacuations.UNKNOWN)));
    }

    @Test
    void testDecodeWhenSnapshotHoldsAnEndlessListOfCrashes() {
        byte[] encoded =
                encodeWithoutEvacuations(
                        new Snapshot(
                                "a",
                                ByteBuffer.allocate(0),
                                9,
                                List.of(),
                                List.of(),
                                List.of(),
                                List.of(),
                                Evacuations.UNKNOWN));
        // MessagePack for an array of 2^32 - 1 elements.
        encoded[encoded.length - 3] = (byte) 0xdd;
        byte[] endless = Arrays.copyOf(encoded, encoded.length + 4);
        Arrays.fill(endless, encoded.length - 2, endless.length - 2, (byte) 0xff);

        assertThrows(IOException.class, () -> FleetCodec.decode(endless));
    }

    @Test
    void testDecodeWhenEndpointChanges() throws IOException {
        EndpointChanges changes =
                new EndpointChanges(
                        "a",
                        3,
                        9,
                        List.of(ENDPOINT),
                        List.of("gone"),
                        List.of(new ColdReport("e@1", 8, 0)));

        assertThat(FleetCodec.decode(FleetCodec.encode(changes)), equalTo(changes));
    }

    @Test
    void testDecodeWhenEndpointChangesAreOfAnEarlierVersion() throws IOException {
        EndpointChanges changes =
                new EndpointChanges("a", 3, 9, List.of(ENDPOINT), List.of("gone"), List.of());
        byte[] encoded = FleetCodec.encode(changes);

        assertThat(FleetCodec.decode(Arrays.copyOf(encoded, encoded.length - 1)), equalTo(changes));
    }

    @Test
    void testDecodeWhenMessageIsTruncated() {
        byte[] encoded = FleetCodec.encode(new SnapshotRequest(70_000, 70_000));
        int earlierBytes = 6;

        for (int length = 0; length < encoded.length; length++) {
            if (length != earlierBytes) {
                byte[] truncated = Arrays.copyOf(encoded, length);
                assertThrows(IOException.class, () -> FleetCodec.decode(truncated));
            }
        }
    }

    @Test
    void testDecodeWhenSnapshotRequestIsOfAnEarlierVersion() throws IOException {
        byte[] encoded = FleetCodec.encode(new SnapshotRequest(70_000, 70_000));

        assertThat(
                FleetCodec.decode(Arrays.copyOf(encoded, 6)),
                equalTo(new SnapshotRequest(70_000, 0)));
    }

    @Test
    void testDecodeWhenBytesAreArbitrary() {
        Random random = new Random(7);
        int malformed = 0;
        for (int round = 0; round < 2_000; round++) {
            byte[] bytes = new byte[1 + random.nextInt(40)];
            random.nextBytes(bytes);
            bytes[0] = 1;
            try {
                FleetCodec.decode(bytes);
            } catch (IOException expected) {
                malformed++;
            }
        }

        assertThat(malformed, equalTo(2_000));
    }
}
