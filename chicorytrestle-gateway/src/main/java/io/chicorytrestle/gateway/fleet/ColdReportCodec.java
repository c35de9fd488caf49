package io.chicorytrestle.gateway.fleet;

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
     * Writes reports, preceded by their number.
     *
     * @param packer Receives the fields.
     * @param reports The reports.
     * @throws IOException Never, since the output is memory.
     */
    static void pack(MessageBufferPacker packer, List<ColdReport> reports) throws IOException {
        packer.packArrayHeader(reports.size());
        for (ColdReport report : reports) {
            packer.packString(report.incarnation());
            packer.packLong(report.revision());
            packer.packLong(report.leftMillis());
        }
    }

    /**
     * Reads reports, preceded by their number.
     *
     * @param unpacker Supplies the fields.
     * @return The reports, none if the message ends before them, as those of earlier versions do.
     * @throws IOException If the message is malformed.
     */
    static List<ColdReport> unpack(MessageUnpacker unpacker) throws IOException {
        List<ColdReport> reports = new ArrayList<>();
        int count = unpacker.hasNext() ? unpacker.unpackArrayHeader() : 0;
        for (int remaining = count; remaining > 0; remaining--) {
            reports.add(
                    new ColdReport(
                            unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackLong()));
        }
        return reports;
    }
}
