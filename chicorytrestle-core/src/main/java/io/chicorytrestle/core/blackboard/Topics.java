package io.chicorytrestle.core.blackboard;

import io.chicorytrestle.core.membership.MembershipView;
import io.chicorytrestle.core.pause.ProcessHeartbeat;
import io.chicorytrestle.core.table.MinimumTableVersion;
import io.chicorytrestle.core.table.Table;

/** Lists the topics that several controllers share. */
public final class Topics {

    /** The table in force. */
    public static final Topic<Table> TABLE = new Topic<>("table", Table.EMPTY);

    /** The view of the fleet. */
    public static final Topic<MembershipView> MEMBERSHIP =
            new Topic<>("membership", MembershipView.EMPTY);

    /** Whether this entry instance may serve under the table in force. */
    public static final Topic<MinimumTableVersion> MINIMUM_TABLE_VERSION =
            new Topic<>("table-floor", MinimumTableVersion.UNKNOWN);

    /** When this process was last seen running. */
    public static final Topic<ProcessHeartbeat> HEARTBEAT =
            new Topic<>("pulse", ProcessHeartbeat.NONE);

    /** Prevents instances. */
    private Topics() {}
}
