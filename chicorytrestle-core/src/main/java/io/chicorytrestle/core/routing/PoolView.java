package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.membership.EndpointMember;
import io.chicorytrestle.core.membership.MembershipView;
import java.util.Optional;

/**
 * Reads this entry instance's view of one pool.
 *
 * @param pool The pool's name.
 * @param blackboard The blackboard to read the membership from.
 */
record PoolView(String pool, Blackboard blackboard) {

    /**
     * Returns the current membership view of the fleet.
     *
     * @return The view.
     */
    MembershipView membership() {
        return blackboard.read(Topics.MEMBERSHIP);
    }

    /**
     * Returns an endpoint that accepts work.
     *
     * @param identity The endpoint's name and incarnation.
     * @return The endpoint, or empty if it accepts no work or is unknown.
     */
    Optional<Endpoint> accepting(EndpointIdentity identity) {
        return membership().acceptingEndpoints(pool).stream()
                .map(EndpointMember::endpoint)
                .filter(endpoint -> endpoint.identity().equals(identity))
                .findFirst();
    }

    /**
     * Returns the capacity of the pool's endpoints that accept work.
     *
     * @return The capacity in requests.
     */
    long capacity() {
        return membership().acceptingEndpoints(pool).stream()
                .mapToLong(member -> member.endpoint().capacity())
                .sum();
    }
}
