package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.fleet.StorePosition;
import io.chicorytrestle.core.placement.ColdReport;
import io.chicorytrestle.core.placement.Evacuations;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.core.poison.CrashNotice;
import io.chicorytrestle.core.poison.PartCrashNotice;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * Sends the complete state of an instance in reply to a {@link SnapshotRequest}.
 *
 * @param sender The name of the instance.
 * @param table The encoded routing table as it was published, or empty if the receiver has that
 *     version or a newer one.
 * @param endpointPosition The store's position of the newest change of endpoints known to the
 *     sender.
 * @param endpoints The endpoints known to the sender.
 * @param crashes The crashes by request content that the sender has recorded.
 * @param partCrashes The crashes by prompt part that the sender has recorded.
 * @param coldReports What entries stated of how long their endpoints are cold, with the time left.
 * @param evacuations The zones that the operator has evacuated, as known to the sender.
 */
public record Snapshot(
        String sender,
        ByteBuffer table,
        StorePosition endpointPosition,
        List<ServingEndpoint> endpoints,
        List<CrashNotice> crashes,
        List<PartCrashNotice> partCrashes,
        List<ColdReport> coldReports,
        Evacuations evacuations)
        implements FleetMessage {

    /** Makes the table read-only and copies the lists. */
    public Snapshot {
        table = table.asReadOnlyBuffer();
        endpoints = List.copyOf(endpoints);
        crashes = List.copyOf(crashes);
        partCrashes = List.copyOf(partCrashes);
        coldReports = List.copyOf(coldReports);
    }
}
