package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.membership.MembershipView;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which steward of a pool an entry instance follows, at most one at a time. It is confined
 * to one thread.
 */
final class LeaderFollower {

    /** The renewals that fit into one lease. */
    private static final long RENEWALS_PER_LEASE = 3;

    /**
     * The time in milliseconds after which an unanswered request makes the instance look after its
     * steward; later looks follow at half of the time that the request has waited.
     */
    private static final long PROBE_INTERVAL_MILLIS = 200;

    /** The time for which a failed steward is not tried again, in milliseconds. */
    private static final long FAILURE_BACKOFF_MILLIS = 1_000;

    /** The pool's name. */
    private final String pool;

    /** The settings. */
    private final RoutingSettings settings;

    /** The times until which failed stewards are not tried again, by name. */
    private final Map<String, Long> failedUntilMillis = new HashMap<>();

    /** The lease under the steward that is followed. */
    private LeaderLease lease = LeaderLease.NONE;

    /**
     * Creates a new follower of no steward.
     *
     * @param pool The pool's name.
     * @param settings The settings.
     */
    LeaderFollower(String pool, RoutingSettings settings) {
        this.pool = pool;
        this.settings = settings;
    }

    /**
     * Returns the steward that is followed.
     *
     * @return The name of the steward, or empty.
     */
    String leader() {
        return lease.leader();
    }

    /**
     * Returns {@code true} if no steward is followed.
     *
     * @return {@code true} if no steward is followed.
     */
    boolean hasNoLeader() {
        return lease.hasNoLeader();
    }

    /**
     * Returns {@code true} if grants of the steward may be used.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the lease is valid.
     */
    boolean hasLease(long nowMillis) {
        return lease.isValid(nowMillis);
    }

    /**
     * Returns {@code true} if a steward failed lately.
     *
     * @param steward The name of the steward.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the steward failed lately.
     */
    boolean hasRecentlyFailed(String steward, long nowMillis) {
        return failedUntilMillis.getOrDefault(steward, 0L) > nowMillis;
    }

    /**
     * Returns the entry instance that others would follow if a steward failed.
     *
     * @param steward The name of the steward.
     * @param view The view of the fleet.
     * @param nowMillis The present time in milliseconds.
     * @return The name of the next steward, or empty if there is none.
     */
    Optional<String> nextLeader(String steward, MembershipView view, long nowMillis) {
        List<String> names =
                view.liveInstances().stream().map(member -> member.identity().name()).toList();
        return RendezvousOrder.order(pool, names).stream()
                .filter(name -> !name.equals(steward) && !hasRecentlyFailed(name, nowMillis))
                .findFirst();
    }

    /**
     * Chooses the first steward in rendezvous order that did not fail lately, and follows it.
     *
     * @param view The view of the fleet.
     * @param nowMillis The present time in milliseconds.
     * @return The steward to report to, or empty if there is none.
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
     * Follows the steward that another one names.
     *
     * @param from The steward that redirects.
     * @param to The steward to follow.
     * @param nowMillis The present time in milliseconds.
     * @return The steward to report to, or empty if there is none.
     */
    Optional<String> redirect(String from, String to, long nowMillis) {
        if (!from.equals(lease.leader()) || to.isEmpty()) {
            return Optional.empty();
        }
        if (hasRecentlyFailed(to, nowMillis)) {
            lease = LeaderLease.NONE;
            return Optional.empty();
        }
        lease = LeaderLease.joining(to, nowMillis);
        return Optional.of(to);
    }

    /**
     * Learns that a steward does not know this instance.
     *
     * @param steward The steward.
     * @param nowMillis The present time in milliseconds.
     * @return The steward to report to, or empty if there is none.
     */
    Optional<String> rejoin(String steward, long nowMillis) {
        boolean reporting =
                !lease.isJoined() && nowMillis - lease.sentAtMillis() < PROBE_INTERVAL_MILLIS;
        if (!steward.equals(lease.leader()) || reporting) {
            return Optional.empty();
        }
        lease = LeaderLease.joining(steward, nowMillis);
        return Optional.of(steward);
    }

    /**
     * Learns that a steward renewed the lease.
     *
     * @param steward The steward.
     * @param sentMillis The time at which the answered message was sent, in milliseconds.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the lease is valid from now on and was not before.
     */
    boolean onJoined(String steward, long sentMillis, long nowMillis) {
        if (!steward.equals(lease.leader())) {
            return false;
        }
        boolean before = lease.isValid(nowMillis);
        lease = lease.afterReply(nowMillis, sentMillis + settings.leaseMillis());
        return !before && lease.isValid(nowMillis);
    }

    /**
     * Learns that an entry instance takes office, and follows it unless another one is followed.
     *
     * @param steward The name of the entry instance.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the entry instance is followed from now on.
     */
    boolean onFollowRequest(String steward, long nowMillis) {
        if (lease.isValid(nowMillis) && !steward.equals(lease.leader())) {
            return false;
        }
        failedUntilMillis.remove(steward);
        lease = LeaderLease.joined(steward, nowMillis, nowMillis + settings.leaseMillis());
        return true;
    }

    /**
     * Learns that a steward cannot be connected to.
     *
     * @param steward The steward.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if it was the one that is followed.
     */
    boolean onUnreachable(String steward, long nowMillis) {
        failedUntilMillis.put(steward, nowMillis + FAILURE_BACKOFF_MILLIS);
        boolean followed = steward.equals(lease.leader());
        if (followed) {
            lease = LeaderLease.NONE;
        }
        return followed;
    }

    /**
     * Stops following a steward that does not answer or whose lease has run out.
     *
     * @param nowMillis The present time in milliseconds.
     */
    void dropLostLeader(long nowMillis) {
        boolean expired = lease.isJoined() && !lease.isValid(nowMillis);
        boolean silent =
                lease.isAwaitingReply()
                        && nowMillis - lease.sentAtMillis() > settings.replyTimeoutMillis();
        if (!lease.hasNoLeader() && (expired || silent)) {
            failedUntilMillis.put(lease.leader(), nowMillis + FAILURE_BACKOFF_MILLIS);
            lease = LeaderLease.NONE;
        }
    }

    /**
     * Returns {@code true} if the lease is to be renewed or the steward to be looked after.
     *
     * @param oldestMillis The time since which the oldest request waits for the steward, in
     *     milliseconds.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if a renewal is due.
     */
    boolean isRenewalDue(long oldestMillis, long nowMillis) {
        if (!lease.isValid(nowMillis) || lease.isAwaitingReply()) {
            return false;
        }
        long sinceMillis = nowMillis - lease.sentAtMillis();
        long waitedMillis = nowMillis - oldestMillis;
        long probeMillis = Math.max(PROBE_INTERVAL_MILLIS, waitedMillis / 2);
        return sinceMillis >= settings.leaseMillis() / RENEWALS_PER_LEASE
                || (waitedMillis >= PROBE_INTERVAL_MILLIS && sinceMillis >= probeMillis);
    }

    /**
     * Takes note that a renewal is sent.
     *
     * @param nowMillis The present time in milliseconds.
     */
    void onRenewalSent(long nowMillis) {
        lease = lease.afterSending(nowMillis);
    }
}
