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

/**
 * Converts tables, or their differences from older tables, to messages for other entry instances
 * and back. The rows are written as YAML, compressed and split into parts.
 */
enum TablePacker {

    /** The singleton instance. */
    INSTANCE;

    /** The initial size of the buffer for compressed content, which doubles when it is full. */
    private static final int INITIAL_BUFFER_BYTES = 4_096;

    /**
     * Packs a table into messages.
     *
     * @param base The receiver's current table, or empty to pack the whole table.
     * @param target The table to pack.
     * @return The parts in order, at least one.
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
     * Unpacks a table from the content of all its parts.
     *
     * @param base The table to which a difference is applied.
     * @param first The first part, which carries the base version and the removed rows.
     * @param content The concatenated content of all parts.
     * @return The table, or all faults.
     * @throws IOException If the content is not valid compressed data.
     */
    TableParseResult unpack(Table base, TableMessages.Part first, byte[] content)
            throws IOException {
        TableParseResult result = TableParser.INSTANCE.parse(inflate(content));
        if (!(result instanceof TableParseResult.Accepted accepted) || first.baseVersion() == 0) {
            return result;
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
     * Returns the rows that were added or changed.
     *
     * @param older The older rows by name.
     * @param newer The newer rows by name.
     * @param <R> The type of the row.
     * @return The added and changed rows by name.
     */
    private static <R> Map<String, R> changedRows(Map<String, R> older, Map<String, R> newer) {
        Map<String, R> changed = new HashMap<>(newer);
        older.forEach(changed::remove);
        return changed;
    }

    /**
     * Returns the names of the rows that were removed.
     *
     * @param older The older rows by name.
     * @param newer The newer rows by name.
     * @return The names in no particular order.
     */
    private static List<String> removedNames(Map<String, ?> older, Map<String, ?> newer) {
        Set<String> names = new HashSet<>(older.keySet());
        names.removeAll(newer.keySet());
        return List.copyOf(names);
    }

    /**
     * Compresses the YAML of a table.
     *
     * @param text The table as YAML.
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
     * Decompresses content up to one byte beyond the maximum size of a table, which bounds the
     * memory that a message can take.
     *
     * @param content The compressed bytes.
     * @return The decompressed bytes, cut one byte above {@link TableParser#MAXIMUM_BYTES}, so that
     *     the parser refuses them as too large.
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
