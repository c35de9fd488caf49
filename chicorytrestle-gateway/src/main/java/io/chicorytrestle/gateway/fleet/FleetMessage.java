package io.chicorytrestle.gateway.fleet;

/** What instances send one another. */
public sealed interface FleetMessage
        permits Beat, SnapshotRequest, Snapshot, EndpointChanges, PublishedTable {}
