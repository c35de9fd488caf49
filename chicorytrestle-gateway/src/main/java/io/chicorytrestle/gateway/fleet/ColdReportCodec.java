package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.fleet.StorePosition;
import io.chicorytrestle.core.placement.ColdReport;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes what endpoints' entries state of being cold, as a part of messages. */
final class ColdReportCodec {

    /** Prevents instantiation. */
    private ColdReportCodec() {}

    /**
     * Writes reports without their eras, preceded by their number.
     *
     * @param packer Receives the fields.
     * @param reports The reports.
     * @throws IOException Never, since the output is memory.
     */
    static void pack(MessageBufferPacker packer, List<ColdReport> reports) throws IOException {
        packer.packArrayHeader(reports.size());
        for (ColdReport report : reports) {
            packer.packString(report.incarnation());
            packer.packLong(report.position().revision());
            packer.packLong(report.leftMillis());
        }
    }

    /**
     * Reads reports, preceded by their number.
     *
     * @param unpacker Supplies the fields.
     * @return The reports, none if the message ends before them, as those of earlier versions do.
     *     Their eras follow in another part of the message.
     * @throws IOException If the message is malformed.
     */
    static List<ColdReport> unpack(MessageUnpacker unpacker) throws IOException {
        List<ColdReport> reports = new ArrayList<>();
        int count = unpacker.hasNext() ? unpacker.unpackArrayHeader() : 0;
        for (int remaining = count; remaining > 0; remaining--) {
            reports.add(
                    new ColdReport(
                            unpacker.unpackString(),
                            new StorePosition(0, unpacker.unpackLong()),
                            unpacker.unpackLong()));
        }
        return reports;
    }

    /**
     * Writes the eras of reports, preceded by their number.
     *
     * @param packer Receives the fields.
     * @param reports The reports.
     * @throws IOException Never, since the output is memory.
     */
    static void packEras(MessageBufferPacker packer, List<ColdReport> reports) throws IOException {
        packer.packArrayHeader(reports.size());
        for (ColdReport report : reports) {
            packer.packLong(report.position().era());
        }
    }

    /**
     * Reads the eras of reports, preceded by their number.
     *
     * @param unpacker Supplies the fields.
     * @param reports The reports without their eras.
     * @return The reports with their eras, unchanged if the message ends before them, as those of
     *     earlier versions do.
     * @throws IOException If the message is malformed.
     */
    static List<ColdReport> unpackEras(MessageUnpacker unpacker, List<ColdReport> reports)
            throws IOException {
        if (!unpacker.hasNext()) {
            return reports;
        }
        if (unpacker.unpackArrayHeader() != reports.size()) {
            throw new IOException("Number of eras differs from that of cold reports");
        }
        List<ColdReport> complete = new ArrayList<>();
        for (ColdReport report : reports) {
            complete.add(inEra(report, unpacker.unpackLong()));
        }
        return complete;
    }

    /**
     * Returns a report with its era.
     *
     * @param report The report without its era.
     * @param era The era of the store.
     * @return The report of that era.
     */
    static ColdReport inEra(ColdReport report, long era) {
        return new ColdReport(
                report.incarnation(),
                new StorePosition(era, report.position().revision()),
                report.leftMillis());
    }
}
