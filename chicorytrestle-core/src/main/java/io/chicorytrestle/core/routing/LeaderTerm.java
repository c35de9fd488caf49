package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.InstanceMember;
import io.chicorytrestle.core.membership.MembershipView;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides whether this entry instance is the steward of a pool.
 *
 * <p>An instance that is asked for places and knows of no other steward takes office: it asks every
 * live instance to join it and to report its places. It grants nothing until all have joined or
 * cannot be connected to, or until whatever an earlier steward granted to the silent ones has
 * expired. An instance follows one steward at a time, so that two stewards never count on the same
 * instance. It is confined to one thread.
 */
final class LeaderTerm {

    /** The part of a lease by which the steward counts longer than the holder uses. */
    private static final long LEASE_MARGIN_DIVISOR = 4;

    /** The pool's name. */
    private final String pool;

    /** The identity of this entry instance. */
    private final InstanceIdentity self;

    /** The side of this entry instance that asks for places. */
    private final PoolClient client;

    /** The settings. */
    private final RoutingSettings settings;

    /** The names of the entry instances that have neither joined nor proved unreachable. */
    private final Set<String> awaitedInstances = new HashSet<>();

    /** The state of the office. */
    private State state = State.INACTIVE;

    /** The time since which this instance takes office, in milliseconds. */
    private long acquiringSinceMillis;

    /** The time of the last inquiries in milliseconds. */
    private long followRequestsSentAtMillis;

    /** The time at which this instance was seen to run last, in milliseconds. */
    private long lastActiveMillis;

    /**
     * Creates a new office, which is closed.
     *
     * @param pool The pool's name.
     * @param self The identity of this entry instance.
     * @param client The side of this entry instance that asks for places.
     * @param settings The settings.
     */
    LeaderTerm(String pool, InstanceIdentity self, PoolClient client, RoutingSettings settings) {
        this.pool = pool;
        this.self = self;
        this.client = client;
        this.settings = settings;
    }

    /**
     * Returns {@code true} if this instance is not the steward and does not try to be.
     *
     * @return {@code true} if the office is closed.
     */
    boolean isInactive() {
        return state == State.INACTIVE;
    }

    /**
     * Takes note that this instance runs. One that stood still too long may have been replaced and
     * leaves the office.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the office was closed because the instance stood still.
     */
    boolean stepDownIfStalled(long nowMillis) {
        boolean late = nowMillis - lastActiveMillis > settings.leaseMillis() / 2;
        lastActiveMillis = nowMillis;
        boolean closing = late && state != State.INACTIVE;
        if (closing) {
            stepDown();
        }
        return closing;
    }

    /**
     * Returns {@code true} if this instance may grant places.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if this instance is in office.
     */
    boolean mayGrant(long nowMillis) {
        if (state == State.ACQUIRING
                && (awaitedInstances.isEmpty() || nowMillis >= acquisitionDeadlineMillis())) {
            state = State.ACTIVE;
        }
        return state == State.ACTIVE;
    }

    /**
     * Returns the steward that this instance follows with a valid lease, if it is another one.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The name of the other steward, or empty.
     */
    Optional<String> otherLeader(long nowMillis) {
        return client.followedLeader(nowMillis)
                .filter(steward -> state == State.INACTIVE && !steward.equals(self.name()));
    }

    /**
     * Begins to take office.
     *
     * @param view The view of the fleet.
     * @param nowMillis The present time in milliseconds.
     * @return The names of the entry instances to inquire of.
     */
    List<String> beginAcquiring(MembershipView view, long nowMillis) {
        state = State.ACQUIRING;
        acquiringSinceMillis = nowMillis;
        followRequestsSentAtMillis = nowMillis;
        awaitedInstances.clear();
        view.liveInstances().stream()
                .map(member -> member.identity().name())
                .forEach(awaitedInstances::add);
        return List.copyOf(awaitedInstances);
    }

    /**
     * Takes one step.
     *
     * @param view The view of the fleet.
     * @param book The places that are held.
     * @param nowMillis The present time in milliseconds.
     * @return The names of the entry instances to inquire of.
     */
    List<String> step(MembershipView view, AdmissionTracker book, long nowMillis) {
        if (state == State.INACTIVE
                || nowMillis - followRequestsSentAtMillis < settings.replyTimeoutMillis()) {
            return List.of();
        }
        followRequestsSentAtMillis = nowMillis;
        if (state == State.ACQUIRING) {
            return List.copyOf(awaitedInstances);
        }
        return view.liveInstances().stream()
                .map(InstanceMember::identity)
                .filter(identity -> !book.hasLease(identity, nowMillis))
                .map(InstanceIdentity::name)
                .toList();
    }

    /**
     * Learns that an entry instance has joined.
     *
     * @param name The name of the entry instance.
     */
    void onJoined(String name) {
        awaitedInstances.remove(name);
    }

    /**
     * Learns that an entry instance cannot be connected to.
     *
     * @param name The name of the entry instance.
     */
    void onUnreachable(String name) {
        awaitedInstances.remove(name);
    }

    /**
     * Decides whether to leave the office to another steward.
     *
     * @param other The other steward.
     * @param view The view of the fleet.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if this instance leaves the office.
     */
    boolean yieldsTo(String other, MembershipView view, long nowMillis) {
        if (other.isEmpty()
                || other.equals(self.name())
                || client.hasRecentlyFailed(other, nowMillis)) {
            return false;
        }
        if (state == State.ACQUIRING) {
            return true;
        }
        List<String> order =
                RendezvousOrder.order(
                        pool,
                        view.liveInstances().stream()
                                .map(member -> member.identity().name())
                                .toList());
        int rank = order.indexOf(other);
        return rank >= 0 && rank < order.indexOf(self.name());
    }

    /** Leaves the office. */
    void stepDown() {
        state = State.INACTIVE;
        awaitedInstances.clear();
    }

    /**
     * Returns the identity of an entry instance.
     *
     * @param name The name of the entry instance.
     * @param view The view of the fleet.
     * @return The identity, or empty if the view does not hold the instance.
     */
    Optional<InstanceIdentity> findIdentity(String name, MembershipView view) {
        return view.instances().stream()
                .map(InstanceMember::identity)
                .filter(identity -> identity.name().equals(name))
                .findFirst();
    }

    /**
     * Returns the time by which all that an earlier steward granted has expired.
     *
     * @return The time in milliseconds.
     */
    private long acquisitionDeadlineMillis() {
        return acquiringSinceMillis
                + settings.leaseMillis()
                + settings.leaseMillis() / LEASE_MARGIN_DIVISOR;
    }

    /** Enumerates the states of an office. */
    private enum State {
        /** This instance is not the steward. */
        INACTIVE,

        /** This instance waits for reports before it grants. */
        ACQUIRING,

        /** This instance grants. */
        ACTIVE
    }
}
