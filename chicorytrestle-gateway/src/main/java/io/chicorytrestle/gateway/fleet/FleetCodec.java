package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.fleet.StoreContact;
import io.chicorytrestle.core.fleet.StorePosition;
import io.chicorytrestle.core.placement.ColdReport;
import io.chicorytrestle.core.placement.Evacuations;
import io.chicorytrestle.core.placement.Outcomes;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.core.poison.CrashNotice;
import io.chicorytrestle.core.poison.PartCrashNotice;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the messages between instances as MessagePack. */
final class FleetCodec {

    /** The number that starts a heartbeat. */
    private static final int HEARTBEAT = 1;

    /** The number that starts a snapshot request. */
    private static final int SNAPSHOT_REQUEST = 2;

    /** The number that starts a snapshot. */
    private static final int SNAPSHOT = 3;

    /** The number that starts endpoint changes. */
    private static final int ENDPOINT_CHANGES = 4;

    /** The number that starts a relayed routing table. */
    private static final int PUBLISHED_TABLE = 5;

    /** The number that starts an acknowledgement. */
    private static final int ACKNOWLEDGEMENT = 6;

    /** The number that starts a notice of evacuated zones. */
    private static final int EVACUATION_NOTICE = 7;

    /** The number that starts a notice of streams. */
    private static final int STREAM_NOTICE = 8;

    /** The number that starts a query for a stream. */
    private static final int STREAM_QUERY = 9;

    /** The number that starts the reply to such a query. */
    private static final int STREAM_REPLY = 10;

    /** Prevents instantiation. */
    private FleetCodec() {}

    /**
     * Encodes a message.
     *
     * @param message The message.
     * @return The encoded message without a length prefix.
     * @throws IllegalStateException Never, since the output is memory.
     */
    static byte[] encode(FleetMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            if (message instanceof Heartbeat heartbeat) {
                packer.packInt(HEARTBEAT);
                pack(packer, heartbeat);
            } else if (message instanceof SnapshotRequest request) {
                packer.packInt(SNAPSHOT_REQUEST);
                packer.packLong(request.knownTableVersion());
                packer.packLong(request.knownEndpointPosition().revision());
                packer.packLong(request.knownEndpointPosition().era());
            } else if (message instanceof Snapshot snapshot) {
                packer.packInt(SNAPSHOT);
                pack(packer, snapshot);
            } else if (message instanceof EndpointChanges changes) {
                packer.packInt(ENDPOINT_CHANGES);
                pack(packer, changes);
            } else if (message instanceof PublishedTable published) {
                packer.packInt(PUBLISHED_TABLE);
                packer.packString(published.sender());
                TableBytes.pack(packer, published.table());
            } else if (message instanceof EvacuationNotice notice) {
                packer.packInt(EVACUATION_NOTICE);
                packer.packString(notice.sender());
                EvacuationCodec.pack(packer, notice.evacuations());
            } else if (message instanceof StreamNotice notice) {
                packer.packInt(STREAM_NOTICE);
                StreamCodec.pack(packer, notice);
            } else if (message instanceof StreamQuery query) {
                packer.packInt(STREAM_QUERY);
                packer.packLong(query.number());
                packer.packString(query.id());
            } else if (message instanceof StreamReply reply) {
                packer.packInt(STREAM_REPLY);
                StreamCodec.pack(packer, reply);
            } else if (message instanceof Acknowledgement) {
                packer.packInt(ACKNOWLEDGEMENT);
            }
            return packer.toByteArray();
        } catch (IOException exception) {
            throw new IllegalStateException("Cannot encode message", exception);
        }
    }

    /**
     * Decodes a message.
     *
     * @param bytes The encoded message without a length prefix.
     * @return The message.
     * @throws IOException If the message is malformed.
     */
    static FleetMessage decode(byte[] bytes) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int kind = unpacker.unpackInt();
            return switch (kind) {
                case HEARTBEAT -> unpackHeartbeat(unpacker);
                case SNAPSHOT_REQUEST -> unpackRequest(unpacker);
                case SNAPSHOT -> unpackSnapshot(unpacker);
                case ENDPOINT_CHANGES -> unpackChanges(unpacker);
                case PUBLISHED_TABLE ->
                        new PublishedTable(unpacker.unpackString(), TableBytes.unpack(unpacker));
                case EVACUATION_NOTICE ->
                        new EvacuationNotice(
                                unpacker.unpackString(), EvacuationCodec.unpack(unpacker));
                case STREAM_NOTICE -> StreamCodec.unpackNotice(unpacker);
                case STREAM_QUERY ->
                        new StreamQuery(unpacker.unpackLong(), unpacker.unpackString());
                case STREAM_REPLY -> StreamCodec.unpackReply(unpacker);
                case ACKNOWLEDGEMENT -> Acknowledgement.INSTANCE;
                default -> throw new IOException("Unknown kind of message: " + kind);
            };
        } catch (RuntimeException exception) {
            throw new IOException("Malformed message", exception);
        }
    }

    /**
     * Writes a heartbeat.
     *
     * @param packer Receives the fields.
     * @param heartbeat The heartbeat.
     * @throws IOException Never, since the output is memory.
     */
    private static void pack(MessageBufferPacker packer, Heartbeat heartbeat) throws IOException {
        pack(packer, heartbeat.sender());
        packer.packLong(heartbeat.incarnation());
        packer.packLong(heartbeat.tableVersion());
        packer.packLong(heartbeat.endpointPosition().revision());
        packer.packBoolean(heartbeat.isEnding());
        packer.packInt(heartbeat.storeContact().code());
        packer.packMapHeader(heartbeat.requestsInFlight().size());
        for (Map.Entry<String, Integer> count : heartbeat.requestsInFlight().entrySet()) {
            packer.packString(count.getKey());
            packer.packInt(count.getValue());
        }
        packer.packMapHeader(heartbeat.outcomes().size());
        for (Map.Entry<String, Outcomes> outcomes : heartbeat.outcomes().entrySet()) {
            packer.packString(outcomes.getKey());
            packer.packFloat((float) outcomes.getValue().ended());
            packer.packFloat((float) outcomes.getValue().failed());
        }
        packStrings(packer, heartbeat.leaving());
        CrashCodec.pack(packer, heartbeat.crashes());
        packer.packArrayHeader(heartbeat.peers().size());
        for (PeerAddress peer : heartbeat.peers()) {
            pack(packer, peer);
        }
        packer.packMapHeader(heartbeat.promptReads().size());
        for (Map.Entry<String, List<String>> reads : heartbeat.promptReads().entrySet()) {
            packer.packString(reads.getKey());
            packStrings(packer, reads.getValue());
        }
        packer.packArrayHeader(heartbeat.partCrashes().size());
        for (PartCrashNotice crash : heartbeat.partCrashes()) {
            packer.packString(crash.part());
            packStrings(packer, crash.incarnations());
            packer.packInt(crash.otherCompletions());
        }
        CrashCodec.packRecords(packer, heartbeat.crashes());
        EvacuationCodec.pack(packer, heartbeat.evacuations());
        packer.packLong(heartbeat.endpointPosition().era());
        packer.packBoolean(heartbeat.isKeepingStreams());
    }

    /**
     * Reads a heartbeat.
     *
     * @param unpacker Supplies the fields.
     * @return The heartbeat.
     * @throws IOException If the message is malformed.
     */
    private static Heartbeat unpackHeartbeat(MessageUnpacker unpacker) throws IOException {
        PeerAddress sender = unpackAddress(unpacker);
        long incarnation = unpacker.unpackLong();
        long tableVersion = unpacker.unpackLong();
        long endpointRevision = unpacker.unpackLong();
        boolean isEnding = unpacker.unpackBoolean();
        StoreContact storeContact = StoreContact.of(unpacker.unpackInt());
        Map<String, Integer> requestsInFlight = new HashMap<>();
        for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
            requestsInFlight.put(unpacker.unpackString(), unpacker.unpackInt());
        }
        Map<String, Outcomes> outcomes = new HashMap<>();
        for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
            outcomes.put(
                    unpacker.unpackString(),
                    new Outcomes(unpacker.unpackFloat(), unpacker.unpackFloat()));
        }
        List<String> leaving = unpackStrings(unpacker);
        List<CrashNotice> crashes = CrashCodec.unpack(unpacker);
        List<PeerAddress> peers = new ArrayList<>();
        for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
            peers.add(unpackAddress(unpacker));
        }
        // Instances of earlier versions end their heartbeats here or after one of the next fields.
        Map<String, List<String>> promptReads =
                unpacker.hasNext() ? unpackPromptReads(unpacker) : Map.of();
        List<PartCrashNotice> partCrashes =
                unpacker.hasNext() ? unpackPartCrashes(unpacker) : List.of();
        if (unpacker.hasNext()) {
            crashes = CrashCodec.unpackRecords(unpacker);
        }
        Evacuations evacuations = EvacuationCodec.unpack(unpacker);
        return new Heartbeat(
                sender,
                incarnation,
                tableVersion,
                new StorePosition(unpackEra(unpacker), endpointRevision),
                isEnding,
                storeContact,
                requestsInFlight,
                outcomes,
                leaving,
                crashes,
                peers,
                promptReads,
                partCrashes,
                evacuations,
                unpacker.hasNext() && unpacker.unpackBoolean());
    }

    /**
     * Reads an era of the store.
     *
     * @param unpacker Supplies the field.
     * @return The era, or zero if the message ends before it, as that of an earlier version does.
     * @throws IOException If the message is malformed.
     */
    static long unpackEra(MessageUnpacker unpacker) throws IOException {
        return unpacker.hasNext() ? unpacker.unpackLong() : 0;
    }

    /**
     * Reads the keys of prompt parts that endpoints read lately.
     *
     * @param unpacker Supplies the fields.
     * @return The keys by incarnation of the endpoint.
     * @throws IOException If the message is malformed.
     */
    private static Map<String, List<String>> unpackPromptReads(MessageUnpacker unpacker)
            throws IOException {
        Map<String, List<String>> promptReads = new HashMap<>();
        for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
            promptReads.put(unpacker.unpackString(), unpackStrings(unpacker));
        }
        return promptReads;
    }

    /**
     * Reads notices of crashes under prompt parts.
     *
     * @param unpacker Supplies the fields.
     * @return The notices.
     * @throws IOException If the message is malformed.
     */
    private static List<PartCrashNotice> unpackPartCrashes(MessageUnpacker unpacker)
            throws IOException {
        List<PartCrashNotice> notices = new ArrayList<>();
        for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
            notices.add(
                    new PartCrashNotice(
                            unpacker.unpackString(),
                            unpackStrings(unpacker),
                            unpacker.unpackInt()));
        }
        return notices;
    }

    /**
     * Writes strings, preceded by their number.
     *
     * @param packer Receives the strings.
     * @param strings The strings.
     * @throws IOException Never, since the output is memory.
     */
    static void packStrings(MessageBufferPacker packer, List<String> strings) throws IOException {
        packer.packArrayHeader(strings.size());
        for (String string : strings) {
            packer.packString(string);
        }
    }

    /**
     * Reads strings, preceded by their number.
     *
     * @param unpacker Supplies the strings.
     * @return The strings.
     * @throws IOException If the message is malformed.
     */
    static List<String> unpackStrings(MessageUnpacker unpacker) throws IOException {
        List<String> strings = new ArrayList<>();
        for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
            strings.add(unpacker.unpackString());
        }
        return strings;
    }

    /**
     * Writes an address.
     *
     * @param packer Receives the fields.
     * @param address The address.
     * @throws IOException Never, since the output is memory.
     */
    private static void pack(MessageBufferPacker packer, PeerAddress address) throws IOException {
        packer.packString(address.name());
        packer.packString(address.address());
        packer.packString(address.zone());
    }

    /**
     * Reads an address.
     *
     * @param unpacker Supplies the fields.
     * @return The address.
     * @throws IOException If the message is malformed.
     */
    private static PeerAddress unpackAddress(MessageUnpacker unpacker) throws IOException {
        return new PeerAddress(
                unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString());
    }

    /**
     * Writes a snapshot.
     *
     * @param packer Receives the fields.
     * @param snapshot The snapshot.
     * @throws IOException Never, since the output is memory.
     */
    private static void pack(MessageBufferPacker packer, Snapshot snapshot) throws IOException {
        packer.packString(snapshot.sender());
        TableBytes.pack(packer, snapshot.table());
        packer.packLong(snapshot.endpointPosition().revision());
        EndpointCodec.pack(packer, snapshot.endpoints());
        CrashCodec.packRecords(packer, snapshot.crashes());
        CrashCodec.packPartRecords(packer, snapshot.partCrashes());
        ColdReportCodec.pack(packer, snapshot.coldReports());
        EvacuationCodec.pack(packer, snapshot.evacuations());
        packer.packLong(snapshot.endpointPosition().era());
        ColdReportCodec.packEras(packer, snapshot.coldReports());
        EndpointCodec.packVersions(packer, snapshot.endpoints());
    }

    /**
     * Reads a snapshot.
     *
     * @param unpacker Supplies the fields.
     * @return The snapshot.
     * @throws IOException If the message is malformed.
     */
    private static Snapshot unpackSnapshot(MessageUnpacker unpacker) throws IOException {
        String sender = unpacker.unpackString();
        ByteBuffer table = TableBytes.unpack(unpacker);
        long endpointRevision = unpacker.unpackLong();
        List<ServingEndpoint> endpoints = EndpointCodec.unpack(unpacker);
        // Instances of earlier versions end their snapshots here.
        List<CrashNotice> crashes =
                unpacker.hasNext() ? CrashCodec.unpackRecords(unpacker) : List.of();
        List<PartCrashNotice> partCrashes =
                unpacker.hasNext() ? CrashCodec.unpackPartRecords(unpacker) : List.of();
        List<ColdReport> coldReports = ColdReportCodec.unpack(unpacker);
        Evacuations evacuations = EvacuationCodec.unpack(unpacker);
        StorePosition endpointPosition = new StorePosition(unpackEra(unpacker), endpointRevision);
        coldReports = ColdReportCodec.unpackEras(unpacker, coldReports);
        return new Snapshot(
                sender,
                table,
                endpointPosition,
                EndpointCodec.unpackVersions(unpacker, endpoints),
                crashes,
                partCrashes,
                coldReports,
                evacuations);
    }

    /**
     * Reads a snapshot request.
     *
     * @param unpacker Supplies the fields.
     * @return The request.
     * @throws IOException If the message is malformed.
     */
    private static SnapshotRequest unpackRequest(MessageUnpacker unpacker) throws IOException {
        long knownTableVersion = unpacker.unpackLong();
        // Instances of earlier versions end their requests here or after the next field.
        long knownRevision = unpacker.hasNext() ? unpacker.unpackLong() : 0;
        return new SnapshotRequest(
                knownTableVersion, new StorePosition(unpackEra(unpacker), knownRevision));
    }

    /**
     * Writes endpoint changes.
     *
     * @param packer Receives the fields.
     * @param changes The changes.
     * @throws IOException Never, since the output is memory.
     */
    private static void pack(MessageBufferPacker packer, EndpointChanges changes)
            throws IOException {
        packer.packString(changes.sender());
        packer.packLong(changes.base().revision());
        packer.packLong(changes.position().revision());
        EndpointCodec.pack(packer, changes.changed());
        packStrings(packer, changes.removed());
        ColdReportCodec.pack(packer, changes.coldReports());
        packer.packLong(changes.position().era());
        EndpointCodec.packVersions(packer, changes.changed());
    }

    /**
     * Reads endpoint changes.
     *
     * @param unpacker Supplies the fields.
     * @return The changes.
     * @throws IOException If the message is malformed.
     */
    private static EndpointChanges unpackChanges(MessageUnpacker unpacker) throws IOException {
        String sender = unpacker.unpackString();
        long baseRevision = unpacker.unpackLong();
        long revision = unpacker.unpackLong();
        List<ServingEndpoint> changed = EndpointCodec.unpack(unpacker);
        List<String> removed = unpackStrings(unpacker);
        List<ColdReport> coldReports = ColdReportCodec.unpack(unpacker);
        long era = unpackEra(unpacker);
        return new EndpointChanges(
                sender,
                new StorePosition(era, baseRevision),
                new StorePosition(era, revision),
                EndpointCodec.unpackVersions(unpacker, changed),
                removed,
                coldReports.stream().map(report -> ColdReportCodec.inEra(report, era)).toList());
    }
}
