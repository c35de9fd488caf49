package io.chicorytrestle.core.placement;

import io.chicorytrestle.core.blackboard.Topic;

/** Lists the blackboard topics of this package. */
public final class PlacementTopics {

    /** The endpoints that may accept work; empty until the first list arrives. */
    public static final Topic<ServingView> SERVING = new Topic<>("serving", ServingView.EMPTY);

    /** Prevents instantiation. */
    private PlacementTopics() {}
}
