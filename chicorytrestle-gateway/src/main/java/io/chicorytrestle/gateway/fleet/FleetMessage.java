package io.chicorytrestle.gateway.fleet;

/** A message from one instance to another. */
public sealed interface FleetMessage
        permits Heartbeat,
                SnapshotRequest,
                Snapshot,
                EndpointChanges,
                PublishedTable,
                EvacuationNotice,
                StreamNotice,
                StreamQuery,
                StreamReply,
                Acknowledgement {}
