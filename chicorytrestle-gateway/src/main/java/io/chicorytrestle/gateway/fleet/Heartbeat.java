package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.fleet.StoreContact;
import io.chicorytrestle.core.placement.Outcomes;
import io.chicorytrestle.core.poison.CrashNotice;
import java.util.List;
import java.util.Map;

/**
 * Holds what an instance tells its peers at short intervals.
 *
 * @param sender Where the sender is met.
 * @param incarnation The number that tells this process from earlier ones of the same name.
 * @param tableVersion The version of the routing table in force.
 * @param endpointRevision The store's revision of the newest change of endpoints that is known.
 * @param isEnding Whether the sender takes no more work.
 * @param storeContact How the sender learns of endpoints.
 * @param requestsInFlight The sender's requests in flight by incarnation of the endpoint.
 * @param outcomes How the sender's latest requests ended by incarnation of the endpoint.
 * @param leaving The incarnations of endpoints that take no more requests.
 * @param crashes Requests under which endpoints crashed lately.
 * @param peers Some instances that the sender knows.
 */
public record Heartbeat(
        PeerAddress sender,
        long incarnation,
        long tableVersion,
        long endpointRevision,
        boolean isEnding,
        StoreContact storeContact,
        Map<String, Integer> requestsInFlight,
        Map<String, Outcomes> outcomes,
        List<String> leaving,
        List<CrashNotice> crashes,
        List<PeerAddress> peers)
        implements FleetMessage {

    /** Copies the collections. */
    public Heartbeat {
        requestsInFlight = Map.copyOf(requestsInFlight);
        outcomes = Map.copyOf(outcomes);
        leaving = List.copyOf(leaving);
        crashes = List.copyOf(crashes);
        peers = List.copyOf(peers);
    }
}
