package io.chicorytrestle.gateway.settings;

import io.chicorytrestle.core.placement.ColdStartBound;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The validated settings of a gateway instance.
 *
 * @param instanceName The name of this instance.
 * @param zone The availability zone of this instance.
 * @param callerAddress The address on which callers are served.
 * @param readyAddress The address on which readiness is reported.
 * @param peerAddress The address on which other instances connect.
 * @param seeds The peer addresses of instances to contact first, which need not be running.
 * @param storeAddress The address of the metadata store.
 * @param storeHistoryMillis The time in milliseconds for which the store keeps its change history.
 * @param graceMillis The time in milliseconds between the termination signal and the forced kill.
 * @param drainMillis The time in milliseconds after which a draining endpoint is sent no more
 *     requests.
 * @param retryRatio The retry budget as a fraction of requests, fleet-wide.
 * @param retrySlack The retries allowed beyond that fraction, fleet-wide and per window.
 * @param loadMultiple The bound on an endpoint's load, as a multiple of the mean load.
 * @param coldStartBound The bound on requests to cold endpoints, fleet-wide, or empty if there is
 *     none.
 * @param zoneRegions The region of each availability zone, by the name of the zone.
 * @param machineLimits What the machine allows.
 */
public record GatewaySettings(
        String instanceName,
        String zone,
        String callerAddress,
        String readyAddress,
        String peerAddress,
        List<String> seeds,
        String storeAddress,
        long storeHistoryMillis,
        long graceMillis,
        long drainMillis,
        double retryRatio,
        double retrySlack,
        double loadMultiple,
        Optional<ColdStartBound> coldStartBound,
        Map<String, String> zoneRegions,
        MachineLimits machineLimits) {

    /** Makes immutable copies of the collections. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
        zoneRegions = Map.copyOf(zoneRegions);
    }
}
