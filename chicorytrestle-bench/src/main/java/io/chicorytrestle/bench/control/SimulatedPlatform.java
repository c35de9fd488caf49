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

/**
 * Simulates the configuration service, which serves tables, and the platform's list of members. The
 * list can be read as of an earlier virtual time, as by an instance whose reads lag.
 */
final class SimulatedPlatform {

    /** The priority of every workspace. */
    private static final int PRIORITY = 5;

    /** The maximum number of queued requests of every workspace. */
    private static final int QUEUE_REQUESTS = 100;

    /** The published tables as YAML, in the order of their versions, beginning with version one. */
    private final List<byte[]> tables = new ArrayList<>();

    /** The members that are currently listed. */
    private final Map<MemberKey, MemberFact> listedMembers = new TreeMap<>();

    /** Every state of the list, by the virtual time in milliseconds since which it was valid. */
    private final TreeMap<Long, List<MemberFact>> listHistory = new TreeMap<>();

    /** The rows of workspaces in the newest table, by name. */
    private final Map<String, WorkspaceRow> workspaces = new HashMap<>();

    /**
     * The time for which instances watched the configuration service, summed over all instances, in
     * seconds.
     */
    private double watchedSeconds;

    /** Whether the configuration service does not respond. */
    private boolean configurationDown;

    /** The number of versions by which the served table is older than the newest. */
    private int versionsBehind;

    /**
     * Creates a platform with an empty list, and publishes the first table.
     *
     * @param workspaceCount The number of workspaces in the table.
     */
    SimulatedPlatform(int workspaceCount) {
        for (int index = 0; index < workspaceCount; index++) {
            putWorkspace("workspace-" + index, 1);
        }
        publish();
    }

    /**
     * Publishes the next table, in which the ceiling of one workspace differs from the one before.
     *
     * @return The version of the table.
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
     * Sets whether the configuration service responds, and with which table.
     *
     * @param isDown {@code true} if it does not respond.
     * @param newVersionsBehind The number of versions by which the served table is older than the
     *     newest.
     */
    void degradeConfiguration(boolean isDown, int newVersionsBehind) {
        configurationDown = isDown;
        versionsBehind = newVersionsBehind;
    }

    /**
     * Adds to the time for which instances watched the configuration service.
     *
     * @param seconds The time to add in seconds.
     */
    void addWatchedSeconds(double seconds) {
        watchedSeconds += seconds;
    }

    /**
     * Returns the time for which instances watched the configuration service, summed over all
     * instances.
     *
     * @return The time in seconds; experiments count each of these seconds as one read.
     */
    double watchedSeconds() {
        return watchedSeconds;
    }

    /**
     * Returns the version of the table that the configuration service serves.
     *
     * @return The version, or zero if the service is down.
     */
    long servedVersion() {
        return configurationDown ? 0 : Math.max(1, tables.size() - versionsBehind);
    }

    /**
     * Returns a published table.
     *
     * @param version The version, from one to the newest.
     * @return The table as YAML.
     */
    byte[] table(long version) {
        return tables.get((int) version - 1);
    }

    /**
     * Adds a member to the list, or replaces its state there. The list as of an earlier time is
     * unchanged.
     *
     * @param member The new state of the member.
     * @param nowMillis The present virtual time in milliseconds.
     */
    void listMember(MemberFact member, long nowMillis) {
        listedMembers.put(member.key(), member);
        listHistory.put(nowMillis, List.copyOf(listedMembers.values()));
    }

    /**
     * Removes a member from the list. The list as of an earlier time still contains it.
     *
     * @param key The key of the member.
     * @param nowMillis The present virtual time in milliseconds.
     */
    void unlistMember(MemberKey key, long nowMillis) {
        listedMembers.remove(key);
        listHistory.put(nowMillis, List.copyOf(listedMembers.values()));
    }

    /**
     * Returns the list as it was at an earlier time.
     *
     * @param atMillis The virtual time in milliseconds.
     * @return The list, or the first one if the time precedes it.
     */
    List<MemberFact> listAt(long atMillis) {
        Map.Entry<Long, List<MemberFact>> entry = listHistory.floorEntry(atMillis);
        return entry == null ? listHistory.firstEntry().getValue() : entry.getValue();
    }

    /**
     * Replaces the row of a workspace.
     *
     * @param name The name of the workspace.
     * @param ceilingRequests The new ceiling in requests.
     */
    private void putWorkspace(String name, int ceilingRequests) {
        workspaces.put(name, new WorkspaceRow(name, 1, ceilingRequests, PRIORITY, QUEUE_REQUESTS));
    }
}
