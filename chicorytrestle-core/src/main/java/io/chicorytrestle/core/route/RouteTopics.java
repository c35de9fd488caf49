package io.chicorytrestle.core.route;

import io.chicorytrestle.core.blackboard.Topic;

/** Lists the blackboard topics of this package. */
public final class RouteTopics {

    /** The current routing table; {@link RoutingTable#EMPTY} before one is published. */
    public static final Topic<RoutingTable> ROUTING_TABLE =
            new Topic<>("routing-table", RoutingTable.EMPTY);

    /** Prevents instantiation. */
    private RouteTopics() {}
}
