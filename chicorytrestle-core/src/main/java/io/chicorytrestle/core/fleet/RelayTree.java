package io.chicorytrestle.core.fleet;

import io.chicorytrestle.core.routing.RendezvousOrder;
import java.util.Collection;
import java.util.List;

/**
 * Decides to whom an instance passes on news that all instances of its zone need. All instances
 * that know the same names build the same tree, at whose root stand the zone's readers, so that the
 * news crosses each link a few times only.
 */
public final class RelayTree {

    /**
     * The instances to which one passes news on: three links reach fifty instances in four hops.
     */
    private static final int FANOUT = 3;

    /** Not to be created. */
    private RelayTree() {}

    /**
     * Returns the instances to which one passes news on.
     *
     * @param self The name of the instance.
     * @param names The names of the instances of the zone, with this one.
     * @return The names, none for a leaf of the tree.
     */
    public static List<String> children(String self, Collection<String> names) {
        List<String> order = RendezvousOrder.order(ReaderSelection.ORDER_KEY, List.copyOf(names));
        int first = FANOUT * order.indexOf(self) + 1;
        int end = Math.min(first + FANOUT, order.size());
        return first < end ? List.copyOf(order.subList(first, end)) : List.of();
    }
}
