package io.chicorytrestle.core.blackboard;

import io.chicorytrestle.core.membership.MembershipView;
import io.chicorytrestle.core.pause.ProcessHeartbeat;
import io.chicorytrestle.core.table.MinimumTableVersion;
import io.chicorytrestle.core.table.Table;

/** Lists the topics that several controllers use. */
public final class Topics {

    /** The current table of weights and limits. */
    public static final Topic<Table> TABLE = new Topic<>("table", Table.EMPTY);

    /** The view of the fleet. */
    public static final Topic<MembershipView> MEMBERSHIP =
            new Topic<>("membership", MembershipView.EMPTY);

    /** The lowest table version under which this entry instance may serve. */
    public static final Topic<MinimumTableVersion> MINIMUM_TABLE_VERSION =
            new Topic<>("table-floor", MinimumTableVersion.UNKNOWN);

    /** The last step of this process and its number of pauses. */
    public static final Topic<ProcessHeartbeat> HEARTBEAT =
            new Topic<>("pulse", ProcessHeartbeat.NONE);

    /** Prevents instances. */
    private Topics() {}
}
