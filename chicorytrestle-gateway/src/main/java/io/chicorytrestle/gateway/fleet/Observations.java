package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.placement.LoadBook;
import io.chicorytrestle.core.placement.OutcomeBook;
import io.chicorytrestle.core.placement.ZoneReach;
import io.chicorytrestle.core.poison.CrashBook;

/**
 * Holds what instances observe and tell each other in beats.
 *
 * @param loads The requests in flight.
 * @param outcomes How requests ended at the instances of the zone.
 * @param crashes The requests under which endpoints crashed.
 * @param reach The zones that are heard.
 */
public record Observations(
        LoadBook loads, OutcomeBook outcomes, CrashBook crashes, ZoneReach reach) {}
