package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.poison.CrashNotice;
import io.chicorytrestle.core.poison.PartCrashNotice;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes what messages between instances state about crashes, as MessagePack. */
final class CrashCodec {

    /** Prevents instantiation. */
    private CrashCodec() {}

    /**
     * Writes notices in the form that instances of all versions read, without ages and disproved
     * crashes.
     *
     * @param packer Receives the fields.
     * @param notices The notices.
     * @throws IOException Never, since the output is memory.
     */
    static void pack(MessageBufferPacker packer, List<CrashNotice> notices) throws IOException {
        packer.packArrayHeader(notices.size());
        for (CrashNotice notice : notices) {
            packer.packString(notice.fingerprint());
            FleetCodec.packStrings(packer, List.copyOf(notice.crashAgesMillis().keySet()));
        }
    }

    /**
     * Reads notices without ages and disproved crashes.
     *
     * @param unpacker Supplies the fields.
     * @return The notices.
     * @throws IOException If the message is malformed.
     */
    static List<CrashNotice> unpack(MessageUnpacker unpacker) throws IOException {
        List<CrashNotice> notices = new ArrayList<>();
        for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
            notices.add(
                    new CrashNotice(unpacker.unpackString(), FleetCodec.unpackStrings(unpacker)));
        }
        return notices;
    }

    /**
     * Writes notices with ages and disproved crashes.
     *
     * @param packer Receives the fields.
     * @param notices The notices.
     * @throws IOException Never, since the output is memory.
     */
    static void packRecords(MessageBufferPacker packer, List<CrashNotice> notices)
            throws IOException {
        packer.packArrayHeader(notices.size());
        for (CrashNotice notice : notices) {
            packer.packString(notice.fingerprint());
            packer.packMapHeader(notice.crashAgesMillis().size());
            for (Map.Entry<String, Long> crash : notice.crashAgesMillis().entrySet()) {
                packer.packString(crash.getKey());
                packAge(packer, crash.getValue());
            }
            FleetCodec.packStrings(packer, notice.disproved());
        }
    }

    /**
     * Reads notices with ages and disproved crashes.
     *
     * @param unpacker Supplies the fields.
     * @return The notices.
     * @throws IOException If the message is malformed.
     */
    static List<CrashNotice> unpackRecords(MessageUnpacker unpacker) throws IOException {
        List<CrashNotice> notices = new ArrayList<>();
        for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
            String fingerprint = unpacker.unpackString();
            Map<String, Long> agesMillis = new HashMap<>();
            for (int crashes = unpacker.unpackMapHeader(); crashes > 0; crashes--) {
                agesMillis.put(unpacker.unpackString(), (long) unpacker.unpackInt());
            }
            notices.add(
                    new CrashNotice(fingerprint, agesMillis, FleetCodec.unpackStrings(unpacker)));
        }
        return notices;
    }

    /**
     * Writes notices about prompt parts with their ages.
     *
     * @param packer Receives the fields.
     * @param notices The notices.
     * @throws IOException Never, since the output is memory.
     */
    static void packPartRecords(MessageBufferPacker packer, List<PartCrashNotice> notices)
            throws IOException {
        packer.packArrayHeader(notices.size());
        for (PartCrashNotice notice : notices) {
            packer.packString(notice.part());
            FleetCodec.packStrings(packer, notice.incarnations());
            packer.packInt(notice.otherCompletions());
            packAge(packer, notice.ageMillis());
        }
    }

    /**
     * Reads notices about prompt parts with their ages.
     *
     * @param unpacker Supplies the fields.
     * @return The notices.
     * @throws IOException If the message is malformed.
     */
    static List<PartCrashNotice> unpackPartRecords(MessageUnpacker unpacker) throws IOException {
        List<PartCrashNotice> notices = new ArrayList<>();
        for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
            notices.add(
                    new PartCrashNotice(
                            unpacker.unpackString(),
                            FleetCodec.unpackStrings(unpacker),
                            unpacker.unpackInt(),
                            unpacker.unpackInt()));
        }
        return notices;
    }

    /**
     * Writes an age, the largest one that can be read if it is larger.
     *
     * @param packer Receives the age.
     * @param ageMillis The age in milliseconds.
     * @throws IOException Never, since the output is memory.
     */
    private static void packAge(MessageBufferPacker packer, long ageMillis) throws IOException {
        packer.packInt((int) Math.min(Integer.MAX_VALUE, ageMillis));
    }
}
