package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.placement.LoadTracker;
import io.chicorytrestle.core.placement.OutcomeTracker;
import io.chicorytrestle.core.placement.PromptPartTracker;
import io.chicorytrestle.core.placement.ZoneReachability;
import io.chicorytrestle.core.poison.CrashTracker;
import io.chicorytrestle.core.poison.PartCrashTracker;
import io.chicorytrestle.core.stream.StreamOrigins;

/**
 * Holds the trackers whose observations instances exchange.
 *
 * @param loads The requests in flight by endpoint.
 * @param outcomes The outcomes of requests by endpoint, shared within the zone.
 * @param crashes The crashes of endpoints by request content.
 * @param partCrashes The crashes of endpoints by prompt part.
 * @param zoneReachability The time of the last contact by zone.
 * @param promptParts The endpoints that processed each prompt part lately.
 * @param streamOrigins The origins of the streams that callers may resume.
 */
public record PeerObservations(
        LoadTracker loads,
        OutcomeTracker outcomes,
        CrashTracker crashes,
        PartCrashTracker partCrashes,
        ZoneReachability zoneReachability,
        PromptPartTracker promptParts,
        StreamOrigins streamOrigins) {}
