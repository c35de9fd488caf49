package io.chicorytrestle.core.route;

import io.chicorytrestle.core.blackboard.Topic;

/** Lists the topics of this package on the blackboard. */
public final class RouteTopics {

    /** The routing table in force. */
    public static final Topic<RoutingTable> ROUTING_TABLE =
            new Topic<>("routing-table", RoutingTable.EMPTY);

    /** Not to be created. */
    private RouteTopics() {}
}
