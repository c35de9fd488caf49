package io.chicorytrestle.gateway.settings;

import java.util.List;

/**
 * Holds the checked settings of a gateway.
 *
 * @param instanceName The name of this instance.
 * @param zone The availability zone of this instance.
 * @param callerAddress The address at which callers are served.
 * @param readyAddress The address at which readiness is told.
 * @param peerAddress The address at which other instances are met.
 * @param seeds The addresses of instances that may be running.
 * @param storeAddress The address of the metadata store.
 * @param storeHistoryMillis The time in milliseconds for which the store remembers changes.
 * @param graceMillis The time in milliseconds between the request to end and the forced end.
 * @param drainMillis The time in milliseconds after which a leaving endpoint gets no request.
 * @param retryRatio The retries that are allowed for each request, fleet-wide.
 * @param retrySlack The retries that are allowed beyond, fleet-wide and for each window.
 * @param loadMultiple The largest multiple of the mean load that an endpoint may carry.
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
        double loadMultiple) {

    /** Copies the seeds. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
    }
}
