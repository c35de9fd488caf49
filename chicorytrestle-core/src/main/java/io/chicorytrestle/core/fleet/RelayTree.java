package io.chicorytrestle.core.fleet;

import io.chicorytrestle.core.routing.RendezvousOrder;
import java.util.Collection;
import java.util.List;

/**
 * Determines to which instances an instance forwards updates that all instances of its zone need.
 * Instances that know the same names compute the same tree, whose top is formed by the zone's
 * readers, so that an update crosses each link only a few times.
 */
public final class RelayTree {

    /**
     * The number of instances to which one forwards an update: with three, four hops reach fifty
     * instances.
     */
    private static final int FANOUT = 3;

    /** Prevents instantiation. */
    private RelayTree() {}

    /**
     * Returns the instances to which an instance forwards updates.
     *
     * @param self The name of the instance.
     * @param names The names of the instances of the zone, this one included.
     * @return The names, empty for a leaf of the tree.
     */
    public static List<String> children(String self, Collection<String> names) {
        List<String> order = RendezvousOrder.order(ReaderSelection.ORDER_KEY, List.copyOf(names));
        int first = FANOUT * order.indexOf(self) + 1;
        int end = Math.min(first + FANOUT, order.size());
        return first < end ? List.copyOf(order.subList(first, end)) : List.of();
    }
}
