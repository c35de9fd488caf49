package io.chicorytrestle.core.table;

import com.google.common.io.ByteStreams;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.zip.Deflater;
import java.util.zip.InflaterInputStream;

/** Packs tables and their differences for other entry instances, and unpacks them. */
enum TablePacker {

    /** The singleton instance. */
    INSTANCE;

    /** The bytes by which the packed content grows at a time. */
    private static final int INITIAL_BUFFER_BYTES = 4_096;

    /**
     * Packs a table.
     *
     * @param base The table that the receiver has, or empty to pack the whole.
     * @param target The table to pack.
     * @return The messages that bring it.
     */
    List<TableMessages.Part> pack(
            Optional<TableParseResult.Accepted> base, TableParseResult.Accepted target) {
        Table older = base.map(TableParseResult.Accepted::table).orElse(Table.EMPTY);
        Table newer = target.table();
        Table changed =
                new Table(
                        newer.version(),
                        changedRows(older.workspaces(), newer.workspaces()),
                        changedRows(older.pools(), newer.pools()));
        byte[] content = deflate(TableWriter.INSTANCE.write(changed));
        int size = TableMessages.MAXIMUM_PART_BYTES;
        int parts = Math.max(1, (content.length + size - 1) / size);
        List<TableMessages.Part> messages = new ArrayList<>();
        for (int part = 0; part < parts; part++) {
            int to = Math.min(content.length, (part + 1) * size);
            boolean isFirst = part == 0;
            messages.add(
                    new TableMessages.Part(
                            older.version(),
                            newer.version(),
                            target.digest(),
                            part,
                            parts,
                            Arrays.copyOfRange(content, part * size, to),
                            isFirst
                                    ? removedNames(older.workspaces(), newer.workspaces())
                                    : List.of(),
                            isFirst ? removedNames(older.pools(), newer.pools()) : List.of()));
        }
        return messages;
    }

    /**
     * Unpacks a table.
     *
     * @param base The table that a difference is applied to.
     * @param first The first part.
     * @param content The content of all parts.
     * @return The table, or all faults.
     * @throws IOException If the content is malformed or too large.
     */
    TableParseResult unpack(Table base, TableMessages.Part first, byte[] content)
            throws IOException {
        TableParseResult reading = TableParser.INSTANCE.parse(inflate(content));
        if (!(reading instanceof TableParseResult.Accepted accepted) || first.baseVersion() == 0) {
            return reading;
        }
        Map<String, WorkspaceRow> workspaces = new HashMap<>(base.workspaces());
        Map<String, PoolRow> pools = new HashMap<>(base.pools());
        first.removedWorkspaces().forEach(workspaces::remove);
        first.removedPools().forEach(pools::remove);
        workspaces.putAll(accepted.table().workspaces());
        pools.putAll(accepted.table().pools());
        return TableParseResult.Accepted.of(
                new Table(accepted.table().version(), workspaces, pools));
    }

    /**
     * Returns the rows that are new or differ.
     *
     * @param older The older rows by name.
     * @param newer The newer rows by name.
     * @param <R> The type of the rows.
     * @return The rows by name.
     */
    private static <R> Map<String, R> changedRows(Map<String, R> older, Map<String, R> newer) {
        Map<String, R> changed = new HashMap<>(newer);
        older.forEach(changed::remove);
        return changed;
    }

    /**
     * Returns the names of the rows that are gone.
     *
     * @param older The older rows by name.
     * @param newer The newer rows by name.
     * @return The names.
     */
    private static List<String> removedNames(Map<String, ?> older, Map<String, ?> newer) {
        Set<String> names = new HashSet<>(older.keySet());
        names.removeAll(newer.keySet());
        return List.copyOf(names);
    }

    /**
     * Compresses a text.
     *
     * @param text The text.
     * @return The compressed bytes.
     */
    private static byte[] deflate(String text) {
        Deflater deflater = new Deflater(Deflater.BEST_COMPRESSION);
        try {
            deflater.setInput(text.getBytes(StandardCharsets.UTF_8));
            deflater.finish();
            byte[] bytes = new byte[INITIAL_BUFFER_BYTES];
            int length = deflater.deflate(bytes);
            while (!deflater.finished()) {
                bytes = Arrays.copyOf(bytes, bytes.length * 2);
                length += deflater.deflate(bytes, length, bytes.length - length);
            }
            return Arrays.copyOf(bytes, length);
        } finally {
            deflater.end();
        }
    }

    /**
     * Expands compressed bytes up to the largest size of a table.
     *
     * @param content The compressed bytes.
     * @return The expanded bytes, longer than a table may be if there are too many.
     * @throws IOException If the bytes are malformed.
     */
    private static byte[] inflate(byte[] content) throws IOException {
        try (InflaterInputStream stream =
                new InflaterInputStream(new ByteArrayInputStream(content))) {
            return ByteStreams.toByteArray(
                    ByteStreams.limit(stream, TableParser.MAXIMUM_BYTES + 1L));
        }
    }
}
