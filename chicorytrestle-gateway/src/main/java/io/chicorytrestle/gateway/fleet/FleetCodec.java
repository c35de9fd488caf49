package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.fleet.StoreContact;
import io.chicorytrestle.core.placement.Outcomes;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.core.poison.CrashNotice;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads messages between instances as MessagePack. */
final class FleetCodec {

    /** The number that starts a beat. */
    private static final int HEARTBEAT = 1;

    /** The number that starts a request for a snapshot. */
    private static final int SNAPSHOT_REQUEST = 2;

    /** The number that starts a snapshot. */
    private static final int SNAPSHOT = 3;

    /** The number that starts changes of endpoints. */
    private static final int ENDPOINT_CHANGES = 4;

    /** The number that starts a routing table that is passed on. */
    private static final int PUBLISHED_TABLE = 5;

    /** Not to be created. */
    private FleetCodec() {}

    /**
     * Writes a message.
     *
     * @param message The message.
     * @return The bytes.
     * @throws IllegalStateException Never, since the output is memory.
     */
    static byte[] encode(FleetMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            if (message instanceof Heartbeat beat) {
                packer.packInt(HEARTBEAT);
                pack(packer, beat);
            } else if (message instanceof SnapshotRequest request) {
                packer.packInt(SNAPSHOT_REQUEST);
                packer.packLong(request.knownTableVersion());
            } else if (message instanceof Snapshot snapshot) {
                packer.packInt(SNAPSHOT);
                pack(packer, snapshot);
            } else if (message instanceof EndpointChanges changes) {
                packer.packInt(ENDPOINT_CHANGES);
                pack(packer, changes);
            } else if (message instanceof PublishedTable published) {
                packer.packInt(PUBLISHED_TABLE);
                packer.packString(published.sender());
                pack(packer, published.table());
            }
            return packer.toByteArray();
        } catch (IOException exception) {
            throw new IllegalStateException("Message could not be written to memory", exception);
        }
    }

    /**
     * Reads a message.
     *
     * @param bytes The bytes.
     * @return The message.
     * @throws IOException If the message is malformed.
     */
    static FleetMessage decode(byte[] bytes) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int kind = unpacker.unpackInt();
            return switch (kind) {
                case HEARTBEAT -> unpackHeartbeat(unpacker);
                case SNAPSHOT_REQUEST -> new SnapshotRequest(unpacker.unpackLong());
                case SNAPSHOT -> unpackSnapshot(unpacker);
                case ENDPOINT_CHANGES -> unpackChanges(unpacker);
                case PUBLISHED_TABLE ->
                        new PublishedTable(unpacker.unpackString(), unpackBytes(unpacker));
                default -> throw new IOException("Kind of message is unknown: " + kind);
            };
        } catch (RuntimeException exception) {
            throw new IOException("Message is malformed", exception);
        }
    }

    /**
     * Writes a beat.
     *
     * @param packer Takes the fields.
     * @param beat The beat.
     * @throws IOException Never, since the output is memory.
     */
    private static void pack(MessageBufferPacker packer, Heartbeat beat) throws IOException {
        pack(packer, beat.sender());
        packer.packLong(beat.incarnation());
        packer.packLong(beat.tableVersion());
        packer.packLong(beat.endpointRevision());
        packer.packBoolean(beat.isEnding());
        packer.packInt(beat.storeContact().code());
        packer.packMapHeader(beat.requestsInFlight().size());
        for (Map.Entry<String, Integer> count : beat.requestsInFlight().entrySet()) {
            packer.packString(count.getKey());
            packer.packInt(count.getValue());
        }
        packer.packMapHeader(beat.outcomes().size());
        for (Map.Entry<String, Outcomes> outcomes : beat.outcomes().entrySet()) {
            packer.packString(outcomes.getKey());
            packer.packFloat((float) outcomes.getValue().ended());
            packer.packFloat((float) outcomes.getValue().failed());
        }
        packStrings(packer, beat.leaving());
        packer.packArrayHeader(beat.crashes().size());
        for (CrashNotice crash : beat.crashes()) {
            packer.packString(crash.fingerprint());
            packStrings(packer, crash.incarnations());
        }
        packer.packArrayHeader(beat.peers().size());
        for (PeerAddress peer : beat.peers()) {
            pack(packer, peer);
        }
    }

    /**
     * Reads a beat.
     *
     * @param unpacker Gives the fields.
     * @return The beat.
     * @throws IOException If the message is malformed.
     */
    private static Heartbeat unpackHeartbeat(MessageUnpacker unpacker) throws IOException {
        PeerAddress sender = unpackAddress(unpacker);
        long incarnation = unpacker.unpackLong();
        long tableVersion = unpacker.unpackLong();
        long endpointRevision = unpacker.unpackLong();
        boolean isEnding = unpacker.unpackBoolean();
        StoreContact contact = StoreContact.of(unpacker.unpackInt());
        Map<String, Integer> counts = new HashMap<>();
        for (int left = unpacker.unpackMapHeader(); left > 0; left--) {
            counts.put(unpacker.unpackString(), unpacker.unpackInt());
        }
        Map<String, Outcomes> outcomes = new HashMap<>();
        for (int left = unpacker.unpackMapHeader(); left > 0; left--) {
            outcomes.put(
                    unpacker.unpackString(),
                    new Outcomes(unpacker.unpackFloat(), unpacker.unpackFloat()));
        }
        List<String> leaving = unpackStrings(unpacker);
        List<CrashNotice> crashes = new ArrayList<>();
        for (int left = unpacker.unpackArrayHeader(); left > 0; left--) {
            crashes.add(new CrashNotice(unpacker.unpackString(), unpackStrings(unpacker)));
        }
        List<PeerAddress> peers = new ArrayList<>();
        for (int left = unpacker.unpackArrayHeader(); left > 0; left--) {
            peers.add(unpackAddress(unpacker));
        }
        return new Heartbeat(
                sender,
                incarnation,
                tableVersion,
                endpointRevision,
                isEnding,
                contact,
                counts,
                outcomes,
                leaving,
                crashes,
                peers);
    }

    /**
     * Writes texts.
     *
     * @param packer Takes the texts.
     * @param texts The texts.
     * @throws IOException Never, since the output is memory.
     */
    private static void packStrings(MessageBufferPacker packer, List<String> texts)
            throws IOException {
        packer.packArrayHeader(texts.size());
        for (String text : texts) {
            packer.packString(text);
        }
    }

    /**
     * Reads texts.
     *
     * @param unpacker Gives the texts.
     * @return The texts.
     * @throws IOException If the message is malformed.
     */
    private static List<String> unpackStrings(MessageUnpacker unpacker) throws IOException {
        List<String> texts = new ArrayList<>();
        for (int left = unpacker.unpackArrayHeader(); left > 0; left--) {
            texts.add(unpacker.unpackString());
        }
        return texts;
    }

    /**
     * Writes an address.
     *
     * @param packer Takes the fields.
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
     * @param unpacker Gives the fields.
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
     * @param packer Takes the fields.
     * @param snapshot The snapshot.
     * @throws IOException Never, since the output is memory.
     */
    private static void pack(MessageBufferPacker packer, Snapshot snapshot) throws IOException {
        packer.packString(snapshot.sender());
        pack(packer, snapshot.table());
        packer.packLong(snapshot.endpointRevision());
        pack(packer, snapshot.endpoints());
    }

    /**
     * Reads a snapshot.
     *
     * @param unpacker Gives the fields.
     * @return The snapshot.
     * @throws IOException If the message is malformed.
     */
    private static Snapshot unpackSnapshot(MessageUnpacker unpacker) throws IOException {
        String sender = unpacker.unpackString();
        ByteBuffer table = unpackBytes(unpacker);
        long endpointRevision = unpacker.unpackLong();
        List<ServingEndpoint> endpoints = unpackEndpoints(unpacker);
        return new Snapshot(sender, table, endpointRevision, endpoints);
    }

    /**
     * Writes bytes.
     *
     * @param packer Takes the bytes.
     * @param bytes The bytes.
     * @throws IOException Never, since the output is memory.
     */
    private static void pack(MessageBufferPacker packer, ByteBuffer bytes) throws IOException {
        byte[] copied = new byte[bytes.remaining()];
        bytes.duplicate().get(copied);
        packer.packBinaryHeader(copied.length);
        packer.writePayload(copied);
    }

    /**
     * Reads bytes.
     *
     * @param unpacker Gives the bytes.
     * @return The bytes.
     * @throws IOException If the message is malformed.
     */
    private static ByteBuffer unpackBytes(MessageUnpacker unpacker) throws IOException {
        return ByteBuffer.wrap(unpacker.readPayload(unpacker.unpackBinaryHeader()));
    }

    /**
     * Writes changes of endpoints.
     *
     * @param packer Takes the fields.
     * @param changes The changes.
     * @throws IOException Never, since the output is memory.
     */
    private static void pack(MessageBufferPacker packer, EndpointChanges changes)
            throws IOException {
        packer.packString(changes.sender());
        packer.packLong(changes.baseRevision());
        packer.packLong(changes.revision());
        pack(packer, changes.changed());
        packStrings(packer, changes.removed());
    }

    /**
     * Reads changes of endpoints.
     *
     * @param unpacker Gives the fields.
     * @return The changes.
     * @throws IOException If the message is malformed.
     */
    private static EndpointChanges unpackChanges(MessageUnpacker unpacker) throws IOException {
        String sender = unpacker.unpackString();
        long before = unpacker.unpackLong();
        long revision = unpacker.unpackLong();
        List<ServingEndpoint> changed = unpackEndpoints(unpacker);
        List<String> removed = unpackStrings(unpacker);
        return new EndpointChanges(sender, before, revision, changed, removed);
    }

    /**
     * Writes endpoints.
     *
     * @param packer Takes the fields.
     * @param endpoints The endpoints.
     * @throws IOException Never, since the output is memory.
     */
    private static void pack(MessageBufferPacker packer, List<ServingEndpoint> endpoints)
            throws IOException {
        packer.packArrayHeader(endpoints.size());
        for (ServingEndpoint endpoint : endpoints) {
            packer.packString(endpoint.id());
            packer.packString(endpoint.service());
            packer.packString(endpoint.address());
            packer.packString(endpoint.zone());
            packer.packInt(endpoint.slots());
            packer.packBoolean(endpoint.isLeaving());
            packer.packLong(endpoint.startMillis());
        }
    }

    /**
     * Reads endpoints.
     *
     * @param unpacker Gives the fields.
     * @return The endpoints.
     * @throws IOException If the message is malformed.
     */
    private static List<ServingEndpoint> unpackEndpoints(MessageUnpacker unpacker)
            throws IOException {
        List<ServingEndpoint> endpoints = new ArrayList<>();
        for (int left = unpacker.unpackArrayHeader(); left > 0; left--) {
            endpoints.add(
                    new ServingEndpoint(
                            unpacker.unpackString(),
                            unpacker.unpackString(),
                            unpacker.unpackString(),
                            unpacker.unpackString(),
                            unpacker.unpackInt(),
                            unpacker.unpackBoolean(),
                            unpacker.unpackLong()));
        }
        return endpoints;
    }
}
