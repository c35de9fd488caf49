package io.chicorytrestle.gateway.fleet;

/** What instances send one another. */
public sealed interface FleetMessage
        permits Heartbeat, SnapshotRequest, Snapshot, EndpointChanges, PublishedTable {}
