package io.chicorytrestle.bench.control;

import io.chicorytrestle.core.identity.EndpointKind;
import io.chicorytrestle.core.membership.MemberFact;
import io.chicorytrestle.core.membership.MemberKey;
import io.chicorytrestle.core.table.PoolRow;
import io.chicorytrestle.core.table.Table;
import io.chicorytrestle.core.table.TableWriter;
import io.chicorytrestle.core.table.WorkspaceRow;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Fakes the configuration service and the lagging list in virtual time. */
final class SimulatedPlatform {

    /** The priority of each workspace. */
    private static final int PRIORITY = 5;

    /** The longest queue of each workspace in requests. */
    private static final int QUEUE_REQUESTS = 100;

    /** The tables that were published, oldest first. */
    private final List<byte[]> tables = new ArrayList<>();

    /** The members that are listed now. */
    private final Map<MemberKey, MemberFact> listedMembers = new TreeMap<>();

    /** The lists by the time at which they began to hold. */
    private final TreeMap<Long, List<MemberFact>> listHistory = new TreeMap<>();

    /** The rows of the workspaces. */
    private final Map<String, WorkspaceRow> workspaces = new HashMap<>();

    /** The seconds for which the configuration service was watched by all together. */
    private double watchedSeconds;

    /** Whether the configuration service is down. */
    private boolean configurationDown;

    /** How many tables back the configuration service is, when it is stale. */
    private int versionsBehind;

    /**
     * Creates a new platform.
     *
     * @param rows The number of workspaces.
     */
    SimulatedPlatform(int rows) {
        for (int index = 0; index < rows; index++) {
            putWorkspace("workspace-" + index, 1);
        }
        publish();
    }

    /**
     * Publishes the next table.
     *
     * @return The table's version.
     */
    long publish() {
        long version = tables.size() + 1L;
        putWorkspace("workspace-" + version % workspaces.size(), (int) version);
        PoolRow pool =
                new PoolRow(
                        "engines",
                        EndpointKind.ENGINE,
                        1,
                        PoolRow.DEFAULT_BOUND_MULTIPLE,
                        PoolRow.MAXIMUM_CEILING_REQUESTS,
                        "model",
                        "1",
                        "",
                        "");
        Table table = new Table(version, workspaces, Map.of("engines", pool));
        tables.add(TableWriter.INSTANCE.write(table).getBytes(StandardCharsets.UTF_8));
        return version;
    }

    /**
     * Sets whether the configuration service answers, and with what.
     *
     * @param isDown {@code true} if it does not answer.
     * @param tablesBack How many tables back it is.
     */
    void degradeConfiguration(boolean isDown, int tablesBack) {
        configurationDown = isDown;
        versionsBehind = tablesBack;
    }

    /**
     * Counts a watch.
     *
     * @param seconds The seconds for which it lasted.
     */
    void addWatchedSeconds(double seconds) {
        watchedSeconds += seconds;
    }

    /**
     * Returns the seconds for which the configuration service was watched by all together.
     *
     * @return The seconds.
     */
    double watchedSeconds() {
        return watchedSeconds;
    }

    /**
     * Returns the version that the configuration service shows.
     *
     * @return The version, or zero if it is down.
     */
    long servedVersion() {
        return configurationDown ? 0 : Math.max(1, tables.size() - versionsBehind);
    }

    /**
     * Returns a published table.
     *
     * @param version The version.
     * @return The table as YAML.
     */
    byte[] table(long version) {
        return tables.get((int) version - 1);
    }

    /**
     * Lists a member from now on.
     *
     * @param fact The member.
     * @param nowMillis The present time in milliseconds.
     */
    void listMember(MemberFact fact, long nowMillis) {
        listedMembers.put(fact.key(), fact);
        listHistory.put(nowMillis, List.copyOf(listedMembers.values()));
    }

    /**
     * Lists a member no more.
     *
     * @param key The member.
     * @param nowMillis The present time in milliseconds.
     */
    void unlistMember(MemberKey key, long nowMillis) {
        listedMembers.remove(key);
        listHistory.put(nowMillis, List.copyOf(listedMembers.values()));
    }

    /**
     * Returns the list as it was at a time.
     *
     * @param atMillis The time in milliseconds.
     * @return The list.
     */
    List<MemberFact> listAt(long atMillis) {
        Map.Entry<Long, List<MemberFact>> entry = listHistory.floorEntry(atMillis);
        return entry == null ? listHistory.firstEntry().getValue() : entry.getValue();
    }

    /**
     * Replaces the row of a workspace.
     *
     * @param name The workspace's name.
     * @param ceilingRequests The new ceiling.
     */
    private void putWorkspace(String name, int ceilingRequests) {
        workspaces.put(name, new WorkspaceRow(name, 1, ceilingRequests, PRIORITY, QUEUE_REQUESTS));
    }
}
