package io.chicorytrestle.core.fleet;

import io.chicorytrestle.core.routing.RendezvousOrder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Decides whether an instance reads the store's list of endpoints itself. A few instances of each
 * zone read and tell the others, so that the calls grow with the zones and not with the fleet. An
 * instance that does not hear of a working reader reads by itself.
 */
public final class ReaderSelection {

    /** The readers of a zone: the loss of one leaves another while the next takes over. */
    public static final int READERS = 2;

    /** The key of the order in which the instances of a zone become readers. */
    static final String ORDER_KEY = "endpoint-readers";

    /** Not to be created. */
    private ReaderSelection() {}

    /**
     * Decides whether an instance reads.
     *
     * @param self The name of the instance.
     * @param ownContact How the instance learns of endpoints now.
     * @param peers The contact of each other instance of the zone that was heard lately, by name.
     * @return {@code true} if the instance reads the store itself.
     */
    public static boolean isReader(
            String self, StoreContact ownContact, Map<String, StoreContact> peers) {
        if (ownContact == StoreContact.LOST) {
            return true;
        }
        boolean hasReader = peers.containsValue(StoreContact.READING);
        if (!hasReader) {
            return true;
        }
        List<String> candidates = new ArrayList<>();
        candidates.add(self);
        peers.forEach(
                (name, contact) -> {
                    if (contact != StoreContact.LOST) {
                        candidates.add(name);
                    }
                });
        List<String> order = RendezvousOrder.order(ORDER_KEY, candidates);
        return order.indexOf(self) < READERS;
    }
}
