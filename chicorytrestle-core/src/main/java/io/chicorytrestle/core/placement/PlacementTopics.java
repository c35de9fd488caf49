package io.chicorytrestle.core.placement;

import io.chicorytrestle.core.blackboard.Topic;

/** Lists the topics of this package on the blackboard. */
public final class PlacementTopics {

    /** The endpoints that may take work. */
    public static final Topic<ServingView> SERVING = new Topic<>("serving", ServingView.EMPTY);

    /** Not to be created. */
    private PlacementTopics() {}
}
