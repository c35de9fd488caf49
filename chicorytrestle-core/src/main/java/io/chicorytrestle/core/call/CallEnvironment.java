package io.chicorytrestle.core.call;

import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.endpoint.ServiceClient;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.peer.PeerNetwork;
import io.chicorytrestle.core.routing.Dispatcher;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;

/**
 * Groups the dependencies of a call coordinator.
 *
 * @param self The identity of this entry instance, including its incarnation.
 * @param blackboard Provides the membership of the fleet.
 * @param dispatcher Admits calls and chooses their endpoints.
 * @param services The client of the plain services.
 * @param network Sends requests to the other entry instances.
 * @param clock Returns the current time in milliseconds.
 * @param writeGate Evaluated with the current time before the first byte is written; {@code false}
 *     if this process was paused and hasn't caught up with the missed updates yet.
 */
public record CallEnvironment(
        InstanceIdentity self,
        Blackboard blackboard,
        Dispatcher dispatcher,
        ServiceClient services,
        PeerNetwork network,
        LongSupplier clock,
        LongPredicate writeGate) {}
