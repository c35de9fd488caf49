package io.chicorytrestle.core.membership;

import java.util.List;

/**
 * Holds an entry instance's view of the fleet at one moment.
 *
 * @param revision A number that increases with each change of the view.
 * @param instances The entry instances, this one included, sorted by name.
 * @param endpoints The endpoints that are not gone, sorted by name.
 */
public record MembershipView(
        long revision, List<InstanceMember> instances, List<EndpointMember> endpoints) {

    /** The view before any member was found. */
    public static final MembershipView EMPTY = new MembershipView(0, List.of(), List.of());

    /** Creates a new view. */
    public MembershipView {
        instances = List.copyOf(instances);
        endpoints = List.copyOf(endpoints);
    }

    /**
     * Returns the endpoints of a pool that normally take new work.
     *
     * @param pool The pool's name.
     * @return The endpoints sorted by name.
     */
    public List<EndpointMember> acceptingEndpoints(String pool) {
        return endpoints.stream()
                .filter(member -> member.endpoint().pool().equals(pool))
                .filter(member -> member.state().acceptsWork())
                .toList();
    }

    /**
     * Returns the entry instances that are assumed to serve.
     *
     * @return The entry instances sorted by name.
     */
    public List<InstanceMember> liveInstances() {
        return instances.stream().filter(InstanceMember::live).toList();
    }
}
