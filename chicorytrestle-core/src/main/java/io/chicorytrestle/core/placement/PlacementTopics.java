package io.chicorytrestle.core.placement;

import io.chicorytrestle.core.blackboard.Topic;

/** Lists the blackboard topics of this package. */
public final class PlacementTopics {

    /** The endpoints that may accept work; empty until the first list arrives. */
    public static final Topic<ServingView> SERVING = new Topic<>("serving", ServingView.EMPTY);

    /** The zones that the operator has evacuated; unknown until the first set arrives. */
    public static final Topic<Evacuations> EVACUATIONS =
            new Topic<>("evacuations", Evacuations.UNKNOWN);

    /** Prevents instantiation. */
    private PlacementTopics() {}
}
