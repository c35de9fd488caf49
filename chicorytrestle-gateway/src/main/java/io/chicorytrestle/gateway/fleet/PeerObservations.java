package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.placement.LoadTracker;
import io.chicorytrestle.core.placement.OutcomeTracker;
import io.chicorytrestle.core.placement.ZoneReachability;
import io.chicorytrestle.core.poison.CrashTracker;

/**
 * Holds what instances observe and tell each other in beats.
 *
 * @param loads The requests in flight.
 * @param outcomes How requests ended at the instances of the zone.
 * @param crashes The requests under which endpoints crashed.
 * @param zoneReachability The zones that are heard.
 */
public record PeerObservations(
        LoadTracker loads,
        OutcomeTracker outcomes,
        CrashTracker crashes,
        ZoneReachability zoneReachability) {}
