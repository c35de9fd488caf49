package io.chicorytrestle.gateway.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.chicorytrestle.core.fleet.StoreContact;
import io.chicorytrestle.core.fleet.StorePosition;
import io.chicorytrestle.core.placement.ColdReport;
import io.chicorytrestle.core.placement.Evacuations;
import io.chicorytrestle.core.placement.Outcomes;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.core.poison.CrashNotice;
import io.chicorytrestle.core.poison.PartCrashNotice;
import io.chicorytrestle.core.stream.StreamOrigin;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FleetCodecTest {

    private static final PeerAddress SENDER = new PeerAddress("a", "10.0.0.1:9", "z");

    private static final ServingEndpoint ENDPOINT =
            new ServingEndpoint("e", "s", "10.0.0.2:8", "z", 64, true, 1_700_000_000_000L);

    private static final Evacuations EVACUATIONS =
            new Evacuations(new StorePosition(70_000, 1_000), Set.of("x", "z"));

    @Test
    void testDecodeWhenHeartbeat() throws IOException {
        Heartbeat heartbeat =
                new Heartbeat(
                        SENDER,
                        -5,
                        7,
                        new StorePosition(70_001, 412),
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
                        EVACUATIONS,
                        true);

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
                new StorePosition(0, 1),
                false,
                StoreContact.FOLLOWING,
                Map.of(),
                Map.of(),
                List.of(),
                crashes,
                List.of(),
                Map.of(),
                List.of(),
                Evacuations.UNKNOWN,
                false);
    }

    /** Encodes a message as instances of an earlier version do. */
    private static byte[] encodeWithoutEvacuations(FleetMessage message) {
        byte[] encoded = FleetCodec.encode(message);
        int evacuationBytes = 3;
        int endpointEraBytes = message instanceof Snapshot ? 2 : 1;
        int laterBytes = message instanceof Snapshot snapshot ? 1 + snapshot.endpoints().size() : 1;
        return Arrays.copyOf(
                encoded, encoded.length - evacuationBytes - endpointEraBytes - laterBytes);
    }

    @Test
    void testDecodeWhenEvacuationNotice() throws IOException {
        EvacuationNotice notice = new EvacuationNotice("a", EVACUATIONS);
        byte[] encoded = FleetCodec.encode(notice);

        assertThat(FleetCodec.decode(encoded), equalTo(notice));
        int eraBytes = 5;
        for (int missing = 1; missing <= eraBytes + 1; missing++) {
            byte[] truncated = Arrays.copyOf(encoded, encoded.length - missing);
            if (missing != eraBytes) {
                assertThrows(IOException.class, () -> FleetCodec.decode(truncated));
            }
        }
    }

    @Test
    void testDecodeWhenEvacuationNoticeIsOfAnEarlierVersion() throws IOException {
        Evacuations evacuations = new Evacuations(new StorePosition(0, 5), Set.of("x"));
        byte[] encoded = FleetCodec.encode(new EvacuationNotice("a", evacuations));

        assertThat(
                FleetCodec.decode(Arrays.copyOf(encoded, encoded.length - 1)),
                equalTo(new EvacuationNotice("a", evacuations)));
    }

    @Test
    void testDecodeWhenRevisionOfEvacuationsIsNegative() {
        byte[] encoded =
                FleetCodec.encode(
                        new EvacuationNotice(
                                "a", new Evacuations(new StorePosition(0, 5), Set.of())));
        encoded[encoded.length - 3] = -1;

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
                        new StorePosition(70_000, 9),
                        List.of(ENDPOINT.withVersion("v1"), ENDPOINT),
                        List.of(new CrashNotice("ab12", Map.of("e@1", 70L), List.of("f@2"))),
                        List.of(new PartCrashNotice("5c1e", List.of("e@1"), 4, 90)),
                        List.of(
                                new ColdReport("e@1", new StorePosition(70_000, 8), 2_500),
                                new ColdReport("f@2", new StorePosition(69_999, 90), 0)),
                        EVACUATIONS);

        assertThat(FleetCodec.decode(FleetCodec.encode(snapshot)), equalTo(snapshot));
    }

    @Test
    void testDecodeWhenSnapshotIsOfAnEarlierVersion() throws IOException {
        Snapshot snapshot =
                new Snapshot(
                        "a",
                        ByteBuffer.allocate(0),
                        new StorePosition(0, 9),
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
                                new StorePosition(0, 9),
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
                                new StorePosition(0, 9),
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
                        new StorePosition(70_000, 3),
                        new StorePosition(70_000, 9),
                        List.of(ENDPOINT, ENDPOINT.withVersion("v1")),
                        List.of("gone"),
                        List.of(new ColdReport("e@1", new StorePosition(70_000, 8), 0)));
        byte[] encoded = FleetCodec.encode(changes);

        assertThat(FleetCodec.decode(encoded), equalTo(changes));
        int versionBytes = 5;
        for (int missing = 1; missing < versionBytes; missing++) {
            byte[] truncated = Arrays.copyOf(encoded, encoded.length - missing);
            assertThrows(IOException.class, () -> FleetCodec.decode(truncated));
        }
        encoded[encoded.length - versionBytes]--;
        assertThrows(IOException.class, () -> FleetCodec.decode(encoded));
    }

    @Test
    void testDecodeWhenEndpointChangesAreOfAVersionWithoutVersionsOfEndpoints() throws IOException {
        EndpointChanges changes =
                new EndpointChanges(
                        "a",
                        new StorePosition(70_000, 3),
                        new StorePosition(70_000, 9),
                        List.of(ENDPOINT),
                        List.of(),
                        List.of());
        byte[] encoded = FleetCodec.encode(changes);
        int versionBytes = 2;

        assertThat(
                FleetCodec.decode(Arrays.copyOf(encoded, encoded.length - versionBytes)),
                equalTo(changes));
    }

    @Test
    void testDecodeWhenEndpointChangesAreOfAnEarlierVersion() throws IOException {
        EndpointChanges changes =
                new EndpointChanges(
                        "a",
                        new StorePosition(0, 3),
                        new StorePosition(0, 9),
                        List.of(ENDPOINT),
                        List.of("gone"),
                        List.of());
        byte[] encoded = FleetCodec.encode(changes);

        int versionBytes = 2;

        for (int missing = 1; missing <= 2; missing++) {
            byte[] truncated = Arrays.copyOf(encoded, encoded.length - versionBytes - missing);
            assertThat(FleetCodec.decode(truncated), equalTo(changes));
        }
    }

    @Test
    void testDecodeWhenMessageIsTruncated() {
        byte[] encoded = FleetCodec.encode(request());
        Set<Integer> earlierBytes = Set.of(6, 11);

        for (int length = 0; length < encoded.length; length++) {
            if (!earlierBytes.contains(length)) {
                byte[] truncated = Arrays.copyOf(encoded, length);
                assertThrows(IOException.class, () -> FleetCodec.decode(truncated));
            }
        }
    }

    @Test
    void testDecodeWhenSnapshotRequestIsOfAnEarlierVersion() throws IOException {
        byte[] encoded = FleetCodec.encode(request());

        assertThat(
                FleetCodec.decode(Arrays.copyOf(encoded, 6)),
                equalTo(new SnapshotRequest(70_000, StorePosition.UNKNOWN)));
        assertThat(
                FleetCodec.decode(Arrays.copyOf(encoded, 11)),
                equalTo(new SnapshotRequest(70_000, new StorePosition(0, 70_000))));
    }

    @Test
    void testDecodeWhenSnapshotRequest() throws IOException {
        assertThat(FleetCodec.decode(FleetCodec.encode(request())), equalTo(request()));
    }

    private static SnapshotRequest request() {
        return new SnapshotRequest(70_000, new StorePosition(70_000, 70_000));
    }

    @Test
    void testDecodeWhenEraIsNegative() {
        byte[] encoded = FleetCodec.encode(heartbeat(List.of()));
        encoded[encoded.length - 2] = -1;

        assertThrows(IOException.class, () -> FleetCodec.decode(encoded));
    }

    @Test
    void testDecodeWhenHeartbeatIsOfAVersionWithoutEras() throws IOException {
        Heartbeat heartbeat = heartbeat(List.of());
        byte[] encoded = FleetCodec.encode(heartbeat);
        int eraBytes = 3;

        assertThat(
                FleetCodec.decode(Arrays.copyOf(encoded, encoded.length - eraBytes)),
                equalTo(heartbeat));
    }

    @Test
    void testDecodeWhenSenderOfHeartbeatKeepsNoStreams() throws IOException {
        Heartbeat heartbeat = heartbeat(List.of());
        byte[] encoded = FleetCodec.encode(heartbeat);

        assertThat(
                FleetCodec.decode(Arrays.copyOf(encoded, encoded.length - 1)), equalTo(heartbeat));
    }

    @Test
    void testDecodeWhenMessageIsAboutStreams() throws IOException {
        StreamOrigin origin = new StreamOrigin("guia-traslado", "v1.2");
        List<FleetMessage> messages =
                List.of(
                        new StreamNotice(
                                Map.of(
                                        origin,
                                        List.of("9c41d07be2a35f68", "9c41d07be2a35f69"),
                                        StreamOrigin.AMBIGUOUS,
                                        List.of("r"))),
                        new StreamQuery(70_000, "9c41d07be2a35f68"),
                        new StreamReply(70_000, Optional.of(origin)),
                        new StreamReply(70_000, Optional.empty()));
        for (FleetMessage message : messages) {
            byte[] encoded = FleetCodec.encode(message);
            assertThat(FleetCodec.decode(encoded), equalTo(message));
            for (int length = 0; length < encoded.length; length++) {
                byte[] truncated = Arrays.copyOf(encoded, length);
                assertThrows(IOException.class, () -> FleetCodec.decode(truncated));
            }
        }
    }

    /** Guards the cost of streams, of which instances tell each other all the time. */
    @Test
    void testEncodeWhenStreamsHaveBegun() {
        StreamOrigin origin = new StreamOrigin("guia-traslado", "v1.2");
        List<String> ids = Collections.nCopies(11, "9c41d07be2a35f68");

        assertThat(noticeBytes(origin, ids.subList(0, 1)), equalTo(39));
        assertThat(noticeBytes(origin, ids) - noticeBytes(origin, ids.subList(0, 1)), equalTo(170));
    }

    private static int noticeBytes(StreamOrigin origin, List<String> ids) {
        return FleetCodec.encode(new StreamNotice(Map.of(origin, ids))).length;
    }

    @Test
    void testDecodeWhenMessageHasFurtherFields() throws IOException {
        byte[] encoded = FleetCodec.encode(request());

        assertThat(
                FleetCodec.decode(Arrays.copyOf(encoded, encoded.length + 3)), equalTo(request()));
    }

    @Test
    void testDecodeWhenNumberOfErasDiffersFromThatOfColdReports() {
        byte[] encoded =
                FleetCodec.encode(
                        new Snapshot(
                                "a",
                                ByteBuffer.allocate(0),
                                new StorePosition(1, 9),
                                List.of(),
                                List.of(),
                                List.of(),
                                List.of(),
                                Evacuations.UNKNOWN));
        // MessagePack for an array of one element.
        encoded[encoded.length - 1] = (byte) 0x91;

        assertThrows(IOException.class, () -> FleetCodec.decode(encoded));
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
