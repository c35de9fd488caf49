package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.InstanceMember;
import io.chicorytrestle.core.membership.MembershipView;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides whether this entry instance is the leader of a pool.
 *
 * <p>An instance that receives requests for slots and knows of no other leader acquires leadership:
 * it requests every live instance to follow it and to report its slots. It grants nothing until all
 * have joined or proved unreachable, or until every grant of an earlier leader to the instances
 * that did not reply has expired. An instance follows one leader at a time, so that two leaders
 * never count on the same instance. It is confined to one thread.
 */
final class LeaderTerm {

    /**
     * The divisor of a lease for the margin by which the leader's end of it is later than the
     * holder's.
     */
    private static final long LEASE_MARGIN_DIVISOR = 4;

    /** The pool's name. */
    private final String pool;

    /** The identity of this entry instance. */
    private final InstanceIdentity self;

    /** The client of this entry instance, which knows the leader that is followed. */
    private final PoolClient client;

    /** The settings. */
    private final RoutingSettings settings;

    /** The names of the entry instances that have neither joined nor proved unreachable. */
    private final Set<String> awaitedInstances = new HashSet<>();

    /** Whether this instance leads the pool. */
    private State state = State.INACTIVE;

    /** The time at which this instance began to acquire leadership, in milliseconds. */
    private long acquiringSinceMillis;

    /** The time at which follow requests were sent last, in milliseconds. */
    private long followRequestsSentAtMillis;

    /** The time at which this instance last executed, in milliseconds. */
    private long lastActiveMillis;

    /**
     * Creates a term that is inactive.
     *
     * @param pool The pool's name.
     * @param self The identity of this entry instance.
     * @param client The client of this entry instance.
     * @param settings The settings.
     */
    LeaderTerm(String pool, InstanceIdentity self, PoolClient client, RoutingSettings settings) {
        this.pool = pool;
        this.self = self;
        this.client = client;
        this.settings = settings;
    }

    /**
     * Returns {@code true} if this instance neither leads nor acquires leadership.
     *
     * @return {@code true} if the state is inactive.
     */
    boolean isInactive() {
        return state == State.INACTIVE;
    }

    /**
     * Records that this instance executes. One that was stalled for more than half a lease may have
     * been replaced, so it steps down.
     *
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the instance stepped down.
     */
    boolean stepDownIfStalled(long nowMillis) {
        boolean stalled = nowMillis - lastActiveMillis > settings.leaseMillis() / 2;
        lastActiveMillis = nowMillis;
        boolean steppingDown = stalled && state != State.INACTIVE;
        if (steppingDown) {
            stepDown();
        }
        return steppingDown;
    }

    /**
     * Returns {@code true} if this instance may grant slots. Completes the acquisition if no
     * reports are missing or all earlier grants have expired.
     *
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if this instance is the active leader.
     */
    boolean mayGrant(long nowMillis) {
        if (state == State.ACQUIRING
                && (awaitedInstances.isEmpty() || nowMillis >= acquisitionDeadlineMillis())) {
            state = State.ACTIVE;
        }
        return state == State.ACTIVE;
    }

    /**
     * Returns the leader that this instance follows with a valid lease, if it is another instance.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The name of the other leader, or empty. Always empty unless inactive.
     */
    Optional<String> otherLeader(long nowMillis) {
        return client.followedLeader(nowMillis)
                .filter(leader -> state == State.INACTIVE && !leader.equals(self.name()));
    }

    /**
     * Begins to acquire leadership.
     *
     * @param view The membership view of the fleet.
     * @param nowMillis The current time in milliseconds.
     * @return The names of the entry instances to send follow requests to.
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
     * Decides whether follow requests have to be sent again.
     *
     * @param view The membership view of the fleet.
     * @param tracker The leases of the pool.
     * @param nowMillis The current time in milliseconds.
     * @return The names of the entry instances to send follow requests to.
     */
    List<String> step(MembershipView view, AdmissionTracker tracker, long nowMillis) {
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
                .filter(identity -> !tracker.hasLease(identity, nowMillis))
                .map(InstanceIdentity::name)
                .toList();
    }

    /**
     * Records that an entry instance has joined.
     *
     * @param name The name of the entry instance.
     */
    void onJoined(String name) {
        awaitedInstances.remove(name);
    }

    /**
     * Records that an entry instance cannot be connected to.
     *
     * @param name The name of the entry instance.
     */
    void onUnreachable(String name) {
        awaitedInstances.remove(name);
    }

    /**
     * Returns {@code true} if this instance should step down in favour of another leader. While
     * acquiring it always should; an active leader yields only to one that precedes it in
     * rendezvous order.
     *
     * @param other The other leader, or an empty string.
     * @param view The membership view of the fleet.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if this instance should step down.
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

    /** Becomes inactive. */
    void stepDown() {
        state = State.INACTIVE;
        awaitedInstances.clear();
    }

    /**
     * Returns the identity of an entry instance.
     *
     * @param name The name of the entry instance.
     * @param view The membership view of the fleet.
     * @return The identity, or empty if the view lacks the instance.
     */
    Optional<InstanceIdentity> findIdentity(String name, MembershipView view) {
        return view.instances().stream()
                .map(InstanceMember::identity)
                .filter(identity -> identity.name().equals(name))
                .findFirst();
    }

    /**
     * Returns the time by which every grant of an earlier leader has expired.
     *
     * @return The time in milliseconds.
     */
    private long acquisitionDeadlineMillis() {
        return acquiringSinceMillis
                + settings.leaseMillis()
                + settings.leaseMillis() / LEASE_MARGIN_DIVISOR;
    }

    /** The states of this instance as leader. */
    private enum State {
        /** This instance is not the leader. */
        INACTIVE,

        /** This instance waits for reports before it grants slots. */
        ACQUIRING,

        /** This instance grants slots. */
        ACTIVE
    }
}
