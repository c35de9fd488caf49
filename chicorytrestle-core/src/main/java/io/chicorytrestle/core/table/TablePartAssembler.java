package io.chicorytrestle.core.table;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Assembles the parts of one table at a time. Parts may arrive repeatedly and in any order. This
 * class is not thread-safe.
 */
final class TablePartAssembler {

    /** The parts that have arrived so far, by index. */
    private final TreeMap<Integer, TableMessages.Part> parts = new TreeMap<>();

    /**
     * Adds a part. A part of another table with the same or a higher version discards the parts so
     * far; a part of an older table is ignored.
     *
     * @param part The part.
     * @return The assembled table, or empty if parts are still missing.
     */
    Optional<AssembledTable> add(TableMessages.Part part) {
        TableMessages.Part present = parts.isEmpty() ? null : parts.firstEntry().getValue();
        if (present != null && !belongTogether(present, part)) {
            if (part.version() < present.version()) {
                return Optional.empty();
            }
            parts.clear();
        }
        parts.put(part.part(), part);
        if (parts.size() < part.parts()) {
            return Optional.empty();
        }
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        parts.values().forEach(collected -> content.writeBytes(collected.content()));
        AssembledTable assembled =
                new AssembledTable(parts.firstEntry().getValue(), content.toByteArray());
        parts.clear();
        return Optional.of(assembled);
    }

    /**
     * Returns {@code true} if two parts belong to the same packed table.
     *
     * @param present A part that was added before.
     * @param added The part to add.
     * @return {@code true} if the version, digest, base version and number of parts are equal.
     */
    private static boolean belongTogether(
            TableMessages.@Nullable Part present, TableMessages.Part added) {
        return present != null
                && present.version() == added.version()
                && present.digest().equals(added.digest())
                && present.baseVersion() == added.baseVersion()
                && present.parts() == added.parts();
    }

    /**
     * Holds an assembled table.
     *
     * @param firstPart The first part, which carries the removed rows.
     * @param content The content of all parts in order.
     */
    @SuppressWarnings("ArrayRecordComponent")
    record AssembledTable(TableMessages.Part firstPart, byte[] content) {}
}
