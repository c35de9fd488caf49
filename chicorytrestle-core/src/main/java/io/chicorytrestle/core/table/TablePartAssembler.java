package io.chicorytrestle.core.table;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Gathers the parts of one table at a time, whatever their order. Several threads may not call it
 * at the same time.
 */
final class TablePartAssembler {

    /** The parts so far, by number. */
    private final TreeMap<Integer, TableMessages.Part> parts = new TreeMap<>();

    /**
     * Adds a part. A part of a later table replaces what was gathered.
     *
     * @param part The part.
     * @return The whole if no part is missing any more.
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
        parts.values().forEach(gathered -> content.writeBytes(gathered.content()));
        AssembledTable whole =
                new AssembledTable(parts.firstEntry().getValue(), content.toByteArray());
        parts.clear();
        return Optional.of(whole);
    }

    /**
     * Returns {@code true} if two parts belong together.
     *
     * @param present A part that was gathered.
     * @param added A part that is added.
     * @return {@code true} if both parts are of the same packed table.
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
     * Holds a gathered whole.
     *
     * @param firstPart The first part.
     * @param content The content of all parts.
     */
    @SuppressWarnings("ArrayRecordComponent")
    record AssembledTable(TableMessages.Part firstPart, byte[] content) {}
}
