package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.placement.Evacuations;

/**
 * Tells which zones are evacuated, sent by an instance that read a change from the store.
 *
 * @param sender The name of the instance.
 * @param evacuations The evacuated zones as known to it.
 */
public record EvacuationNotice(String sender, Evacuations evacuations) implements FleetMessage {}
