package io.chicorytrestle.core.fleet;

import io.chicorytrestle.core.routing.RendezvousOrder;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * Decides whether an instance reads the list of endpoints from the store itself. A few instances of
 * each zone read it and send it to the others, so that the load on the store grows with the number
 * of zones and not with that of instances. An instance that knows of no working reader reads the
 * list itself.
 */
public final class ReaderSelection {

    /**
     * The number of readers in a zone: if one is lost, another remains while the next takes over.
     */
    public static final int READERS = 2;

    /** The key of the rendezvous order in which the instances of a zone become readers. */
    static final String ORDER_KEY = "endpoint-readers";

    /** Prevents instantiation. */
    private ReaderSelection() {}

    /**
     * Decides which part an instance has in reading the store.
     *
     * @param self The name of the instance.
     * @param ownContact How the instance receives the list of endpoints now.
     * @param peers The contact of every other instance of the zone that sent a heartbeat lately, by
     *     name.
     * @param fleetReaders The names of the readers of all zones that this instance hears from as
     *     often as it needs to rely on one of them as the primary; possibly none.
     * @return The role; an instance that knows of no working reader is primary.
     */
    public static ReaderRole roleOf(
            String self,
            StoreContact ownContact,
            Map<String, StoreContact> peers,
            Collection<String> fleetReaders) {
        ReaderRole zoneRole = zoneRoleOf(self, ownContact, peers);
        boolean reliesOnOtherZone =
                zoneRole == ReaderRole.PRIMARY
                        && ownContact == StoreContact.READING
                        && !isFirstReader(self, fleetReaders);
        return reliesOnOtherZone ? ReaderRole.STANDBY : zoneRole;
    }

    /**
     * Decides which part an instance has by what is known of its own zone.
     *
     * @param self The name of the instance.
     * @param ownContact How the instance receives the list of endpoints now.
     * @param peers The contact of every other instance of the zone.
     * @return The role.
     */
    private static ReaderRole zoneRoleOf(
            String self, StoreContact ownContact, Map<String, StoreContact> peers) {
        boolean hasReader = peers.containsValue(StoreContact.READING);
        if (ownContact == StoreContact.LOST || !hasReader) {
            return ReaderRole.PRIMARY;
        }
        List<String> candidates = new ArrayList<>();
        candidates.add(self);
        peers.forEach(
                (name, contact) -> {
                    if (contact != StoreContact.LOST) {
                        candidates.add(name);
                    }
                });
        int rank = RendezvousOrder.order(ORDER_KEY, candidates).indexOf(self);
        if (rank >= READERS) {
            return ReaderRole.FOLLOWER;
        }
        return rank == 0 ? ReaderRole.PRIMARY : ReaderRole.STANDBY;
    }

    /**
     * Decides whether an instance comes first among the readers of all zones.
     *
     * @param self The name of the instance.
     * @param readers The names of the other instances that read the store.
     * @return {@code true} if none of them precedes it.
     */
    static boolean isFirstReader(String self, Collection<String> readers) {
        List<String> names = new ArrayList<>(readers);
        names.add(self);
        return RendezvousOrder.order(ORDER_KEY, names).get(0).equals(self);
    }
}
