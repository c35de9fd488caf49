package io.chicorytrestle.core.stream;

import io.chicorytrestle.core.placement.BoundedIdentifier;
import io.chicorytrestle.core.routing.RendezvousOrder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the instances of a large fleet that keep the origin of a stream. All instances compute
 * the same order, which takes turns among the availability zones, so that one that asks for the
 * origin finds those that were told.
 */
public final class StreamKeepers {

    /** The number of instances that are told the origin of a stream. */
    public static final int TOLD = 3;

    /**
     * The number of instances that are asked for it, more than are told since instances may differ
     * in whom they can reach.
     */
    public static final int ASKED = 6;

    /** Prevents instantiation. */
    private StreamKeepers() {}

    /**
     * Selects the first instances in the order for a stream.
     *
     * @param id The identifier of the request that began the stream.
     * @param zones The availability zone of each instance, by name.
     * @param count The number of instances to select.
     * @return The names, fewer if there are not as many instances.
     */
    public static List<String> select(String id, Map<String, String> zones, int count) {
        List<String> remaining =
                new ArrayList<>(
                        RendezvousOrder.order(
                                BoundedIdentifier.of(id), List.copyOf(zones.keySet())));
        List<String> selected = new ArrayList<>();
        while (selected.size() < count && !remaining.isEmpty()) {
            Map<String, String> firstOfZones = new HashMap<>();
            List<String> others = new ArrayList<>();
            for (String name : remaining) {
                if (firstOfZones.putIfAbsent(zones.get(name), name) != null) {
                    others.add(name);
                } else if (selected.size() < count) {
                    selected.add(name);
                }
            }
            remaining = others;
        }
        return selected;
    }
}
