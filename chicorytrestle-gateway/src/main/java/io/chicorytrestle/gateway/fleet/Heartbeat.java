package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.fleet.StoreContact;
import io.chicorytrestle.core.fleet.StorePosition;
import io.chicorytrestle.core.placement.Evacuations;
import io.chicorytrestle.core.placement.Outcomes;
import io.chicorytrestle.core.poison.CrashNotice;
import io.chicorytrestle.core.poison.PartCrashNotice;
import java.util.List;
import java.util.Map;

/**
 * Holds what an instance sends to its peers at short intervals.
 *
 * @param sender The address and zone of the sender.
 * @param incarnation The number that distinguishes this process from earlier ones of the same name.
 * @param tableVersion The version of the sender's current routing table.
 * @param endpointPosition The store's position of the newest change of endpoints known to the
 *     sender.
 * @param isEnding Whether the sender accepts no more work.
 * @param storeContact How the sender receives endpoint changes.
 * @param requestsInFlight The number of the sender's requests in flight by incarnation of the
 *     endpoint.
 * @param outcomes The outcomes of the sender's recent requests by incarnation of the endpoint.
 * @param leaving The incarnations of endpoints that accept no more requests.
 * @param crashes The fingerprints of requests under which endpoints crashed recently.
 * @param peers A sample of the instances known to the sender.
 * @param promptReads The keys of prompt parts that endpoints read lately at the sender's request,
 *     by incarnation of the endpoint.
 * @param partCrashes The identifiers of prompt parts under which endpoints crashed recently.
 * @param evacuations The zones that the operator has evacuated, as known to the sender.
 * @param isKeepingStreams Whether the sender understands messages about the origins of streams.
 */
public record Heartbeat(
        PeerAddress sender,
        long incarnation,
        long tableVersion,
        StorePosition endpointPosition,
        boolean isEnding,
        StoreContact storeContact,
        Map<String, Integer> requestsInFlight,
        Map<String, Outcomes> outcomes,
        List<String> leaving,
        List<CrashNotice> crashes,
        List<PeerAddress> peers,
        Map<String, List<String>> promptReads,
        List<PartCrashNotice> partCrashes,
        Evacuations evacuations,
        boolean isKeepingStreams)
        implements FleetMessage {

    /** Copies the collections. */
    public Heartbeat {
        requestsInFlight = Map.copyOf(requestsInFlight);
        outcomes = Map.copyOf(outcomes);
        leaving = List.copyOf(leaving);
        crashes = List.copyOf(crashes);
        peers = List.copyOf(peers);
        promptReads = Map.copyOf(promptReads);
        partCrashes = List.copyOf(partCrashes);
    }
}
