package io.chicorytrestle.core.call;

import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.endpoint.ServiceClient;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.peer.PeerNetwork;
import io.chicorytrestle.core.routing.Dispatcher;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;

/**
 * Holds what a coordinator of calls works with.
 *
 * @param self This run of this entry instance.
 * @param blackboard Holds the view of the fleet.
 * @param dispatcher Chooses the endpoints.
 * @param services Reaches the plain services.
 * @param network Reaches the other entry instances.
 * @param clock Tells the present time in milliseconds.
 * @param writeGate Asked with the present time before a byte is written; {@code false} if this
 *     process stood still and has yet to learn what it missed.
 */
public record CallEnvironment(
        InstanceIdentity self,
        Blackboard blackboard,
        Dispatcher dispatcher,
        ServiceClient services,
        PeerNetwork network,
        LongSupplier clock,
        LongPredicate writeGate) {}
