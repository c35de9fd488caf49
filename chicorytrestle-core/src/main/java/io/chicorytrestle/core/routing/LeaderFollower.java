package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.membership.MembershipView;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which leader of a pool an entry instance follows, at most one at a time. It is confined
 * to one thread.
 */
final class LeaderFollower {

    /** The number of renewals sent during one lease. */
    private static final long RENEWALS_PER_LEASE = 3;

    /**
     * The time in milliseconds after which an unanswered request triggers a renewal as a probe of
     * the leader; further probes follow once half of the time that the request has waited has
     * passed.
     */
    private static final long PROBE_INTERVAL_MILLIS = 200;

    /** The time for which a failed leader is not chosen again, in milliseconds. */
    private static final long FAILURE_BACKOFF_MILLIS = 1_000;

    /** The pool's name. */
    private final String pool;

    /** The settings. */
    private final RoutingSettings settings;

    /** The times until which failed leaders are not chosen again, by name, in milliseconds. */
    private final Map<String, Long> failedUntilMillis = new HashMap<>();

    /** The lease with the leader that is followed. */
    private LeaderLease lease = LeaderLease.NONE;

    /**
     * Creates a follower without a leader.
     *
     * @param pool The pool's name.
     * @param settings The settings.
     */
    LeaderFollower(String pool, RoutingSettings settings) {
        this.pool = pool;
        this.settings = settings;
    }

    /**
     * Returns the leader that is followed.
     *
     * @return The name of the leader, or an empty string.
     */
    String leader() {
        return lease.leader();
    }

    /**
     * Returns {@code true} if no leader is followed.
     *
     * @return {@code true} if no leader is followed.
     */
    boolean hasNoLeader() {
        return lease.hasNoLeader();
    }

    /**
     * Returns {@code true} if grants of the leader may be used.
     *
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the lease is valid.
     */
    boolean hasLease(long nowMillis) {
        return lease.isValid(nowMillis);
    }

    /**
     * Returns {@code true} if a leader failed recently.
     *
     * @param leader The name of the leader.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the leader failed recently.
     */
    boolean hasRecentlyFailed(String leader, long nowMillis) {
        return failedUntilMillis.getOrDefault(leader, 0L) > nowMillis;
    }

    /**
     * Returns the entry instance that would be followed if a leader failed.
     *
     * @param leader The name of the leader.
     * @param view The membership view of the fleet.
     * @param nowMillis The current time in milliseconds.
     * @return The name of the next leader, or empty if there is none.
     */
    Optional<String> nextLeader(String leader, MembershipView view, long nowMillis) {
        List<String> names =
                view.liveInstances().stream().map(member -> member.identity().name()).toList();
        return RendezvousOrder.order(pool, names).stream()
                .filter(name -> !name.equals(leader) && !hasRecentlyFailed(name, nowMillis))
                .findFirst();
    }

    /**
     * Follows the first live instance in rendezvous order that did not fail recently.
     *
     * @param view The membership view of the fleet.
     * @param nowMillis The current time in milliseconds.
     * @return The name of the leader to report to, or empty if there is none.
     */
    Optional<String> chooseLeader(MembershipView view, long nowMillis) {
        List<String> names =
                view.liveInstances().stream().map(member -> member.identity().name()).toList();
        Optional<String> chosen =
                RendezvousOrder.order(pool, names).stream()
                        .filter(name -> !hasRecentlyFailed(name, nowMillis))
                        .findFirst();
        chosen.ifPresent(name -> lease = LeaderLease.joining(name, nowMillis));
        return chosen;
    }

    /**
     * Follows the leader that another one names. A leader that failed recently is not followed.
     *
     * @param sender The leader that redirects; ignored if it is not the one that is followed.
     * @param newLeader The leader to follow.
     * @param nowMillis The current time in milliseconds.
     * @return The name of the leader to report to, or empty if there is none.
     */
    Optional<String> redirect(String sender, String newLeader, long nowMillis) {
        if (!sender.equals(lease.leader()) || newLeader.isEmpty()) {
            return Optional.empty();
        }
        if (hasRecentlyFailed(newLeader, nowMillis)) {
            lease = LeaderLease.NONE;
            return Optional.empty();
        }
        lease = LeaderLease.joining(newLeader, nowMillis);
        return Optional.of(newLeader);
    }

    /**
     * Handles a leader's reply that it holds no lease for this instance.
     *
     * @param leader The name of the leader.
     * @param nowMillis The current time in milliseconds.
     * @return The name of the leader to report to, or empty if there is none.
     */
    Optional<String> rejoin(String leader, long nowMillis) {
        boolean reportInFlight =
                !lease.isJoined() && nowMillis - lease.sentAtMillis() < PROBE_INTERVAL_MILLIS;
        if (!leader.equals(lease.leader()) || reportInFlight) {
            return Optional.empty();
        }
        lease = LeaderLease.joining(leader, nowMillis);
        return Optional.of(leader);
    }

    /**
     * Handles a leader's reply that starts or renews the lease.
     *
     * @param leader The name of the leader.
     * @param sentAtMillis The time at which the answered message was sent, from which the lease
     *     counts, in milliseconds.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the lease became valid by this reply.
     */
    boolean onJoined(String leader, long sentAtMillis, long nowMillis) {
        if (!leader.equals(lease.leader())) {
            return false;
        }
        boolean wasValid = lease.isValid(nowMillis);
        lease = lease.afterReply(nowMillis, sentAtMillis + settings.leaseMillis());
        return !wasValid && lease.isValid(nowMillis);
    }

    /**
     * Handles the request of an instance that becomes leader. It is followed unless a valid lease
     * with another leader exists.
     *
     * @param leader The name of the entry instance.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the entry instance is followed now.
     */
    boolean onFollowRequest(String leader, long nowMillis) {
        if (lease.isValid(nowMillis) && !leader.equals(lease.leader())) {
            return false;
        }
        failedUntilMillis.remove(leader);
        lease = LeaderLease.joined(leader, nowMillis, nowMillis + settings.leaseMillis());
        return true;
    }

    /**
     * Records that a leader cannot be connected to.
     *
     * @param leader The name of the leader.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if it was the leader that was followed.
     */
    boolean onUnreachable(String leader, long nowMillis) {
        failedUntilMillis.put(leader, nowMillis + FAILURE_BACKOFF_MILLIS);
        boolean followed = leader.equals(lease.leader());
        if (followed) {
            lease = LeaderLease.NONE;
        }
        return followed;
    }

    /**
     * Stops following a leader that did not reply in time or whose lease has expired.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void dropLostLeader(long nowMillis) {
        boolean expired = lease.isJoined() && !lease.isValid(nowMillis);
        boolean timedOut =
                lease.isAwaitingReply()
                        && nowMillis - lease.sentAtMillis() > settings.replyTimeoutMillis();
        if (!lease.hasNoLeader() && (expired || timedOut)) {
            failedUntilMillis.put(lease.leader(), nowMillis + FAILURE_BACKOFF_MILLIS);
            lease = LeaderLease.NONE;
        }
    }

    /**
     * Returns {@code true} if the lease has to be renewed or the leader to be probed.
     *
     * @param oldestSentAtMillis The time at which the oldest unanswered request was sent, in
     *     milliseconds.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if a renewal is due.
     */
    boolean isRenewalDue(long oldestSentAtMillis, long nowMillis) {
        if (!lease.isValid(nowMillis) || lease.isAwaitingReply()) {
            return false;
        }
        long sinceSentMillis = nowMillis - lease.sentAtMillis();
        long waitedMillis = nowMillis - oldestSentAtMillis;
        long probeIntervalMillis = Math.max(PROBE_INTERVAL_MILLIS, waitedMillis / 2);
        return sinceSentMillis >= settings.leaseMillis() / RENEWALS_PER_LEASE
                || (waitedMillis >= PROBE_INTERVAL_MILLIS
                        && sinceSentMillis >= probeIntervalMillis);
    }

    /**
     * Records that a renewal is sent.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void onRenewalSent(long nowMillis) {
        lease = lease.afterSending(nowMillis);
    }
}
