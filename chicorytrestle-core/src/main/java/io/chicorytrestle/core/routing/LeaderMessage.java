package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.peer.PeerMessage;
import java.util.List;

/** A message between an entry instance and the leader of a pool. */
public sealed interface LeaderMessage extends PeerMessage {

    /**
     * Returns the pool that the message concerns.
     *
     * @return The pool's name.
     */
    String pool();

    /**
     * Requests a slot from the leader.
     *
     * @param pool The pool's name.
     * @param requestNumber The number of the request, which increases at its entry instance.
     * @param workspace The workspace that the slot counts against.
     * @param chatHash The hash of the chat.
     * @param promptTokens The tokens of the prompt.
     * @param maximumWaitMillis The maximum time to wait for the slot, in milliseconds.
     * @param cacheHints The estimates of the chat's cached tokens, at most one.
     * @param excludedEndpoints The names of endpoints that must not be chosen.
     * @param poolCapacity The capacity of the pool in the sender's view, in requests.
     */
    record AdmitRequest(
            String pool,
            long requestNumber,
            String workspace,
            long chatHash,
            int promptTokens,
            long maximumWaitMillis,
            List<CacheHint> cacheHints,
            List<String> excludedEndpoints,
            long poolCapacity)
            implements LeaderMessage {}

    /**
     * Names an engine that ran a turn of a chat and may still have its tokens cached.
     *
     * @param engine The engine's name.
     * @param incarnation The engine's incarnation.
     * @param cachedTokens The tokens of the chat in the engine's cache after the turn.
     * @param ageMillis The milliseconds since the turn's end.
     */
    record CacheHint(String engine, long incarnation, int cachedTokens, long ageMillis) {}

    /**
     * Replies to a request for a slot.
     *
     * @param pool The pool's name.
     * @param requestNumber The number of the request.
     * @param status The number of the {@link ReplyStatus}.
     * @param target The endpoint's name if the slot is granted, the leader's name if the request is
     *     redirected, or an empty string.
     * @param incarnation The incarnation of the endpoint, or zero.
     * @param expectedCachedTokens The tokens of the prompt that the endpoint is estimated to hold.
     */
    record AdmitReply(
            String pool,
            long requestNumber,
            int status,
            String target,
            long incarnation,
            int expectedCachedTokens)
            implements LeaderMessage {}

    /**
     * Releases a slot, or cancels the request for it.
     *
     * @param pool The pool's name.
     * @param requestNumber The number of the request.
     * @param chatHash The hash of the chat.
     * @param cachedTokens The tokens of the chat that the endpoint has cached, or zero if unknown.
     * @param endpointFailed Whether the endpoint refused the work or aborted it.
     */
    record Release(
            String pool,
            long requestNumber,
            long chatHash,
            int cachedTokens,
            boolean endpointFailed)
            implements LeaderMessage {

        /**
         * Returns the release of a slot that was not used.
         *
         * @param pool The pool's name.
         * @param requestNumber The number of the request.
         * @return The release.
         */
        static Release of(String pool, long requestNumber) {
            return new Release(pool, requestNumber, 0, 0, false);
        }
    }

    /**
     * Joins a leader and reports all slots that the sender holds.
     *
     * @param pool The pool's name.
     * @param sentAtMillis The time of sending by the sender's clock, to be echoed.
     * @param lastNumber The request number that the sender used last.
     * @param slots The slots that the sender holds.
     */
    record Report(String pool, long sentAtMillis, long lastNumber, List<ReportedSlot> slots)
            implements LeaderMessage {}

    /**
     * Replicates slots that only the leader knows of, its own and those of instances that are gone,
     * to its standby, so that they are not lost if the leader fails.
     *
     * @param pool The pool's name.
     * @param holder The name of the entry instance that holds or held the slots.
     * @param zone The holder's availability zone.
     * @param incarnation The holder's incarnation.
     * @param remainingMillis The milliseconds for which the slots count if the holder is gone.
     * @param slots The slots.
     */
    record GrantReplica(
            String pool,
            String holder,
            String zone,
            long incarnation,
            long remainingMillis,
            List<ReportedSlot> slots)
            implements LeaderMessage {

        /**
         * Returns a replica of a holder's slots.
         *
         * @param pool The pool's name.
         * @param holder The holder.
         * @param remainingMillis The milliseconds for which the slots count if the holder is gone.
         * @param slots The slots.
         * @return The replica.
         */
        static GrantReplica of(
                String pool,
                InstanceIdentity holder,
                long remainingMillis,
                List<ReportedSlot> slots) {
            return new GrantReplica(
                    pool,
                    holder.name(),
                    holder.zone(),
                    holder.incarnation(),
                    remainingMillis,
                    slots);
        }

        /**
         * Returns the identity of the holder.
         *
         * @return The identity.
         */
        InstanceIdentity holderIdentity() {
            return new InstanceIdentity(holder, zone, incarnation);
        }
    }

    /**
     * An occupied slot on an endpoint, as messages carry it.
     *
     * @param requestNumber The number of the request.
     * @param endpointName The endpoint's name.
     * @param incarnation The endpoint's incarnation.
     * @param workspace The workspace that the slot counts against.
     */
    record ReportedSlot(
            long requestNumber, String endpointName, long incarnation, String workspace) {}

    /**
     * Renews the lease of the slots that the sender holds.
     *
     * @param pool The pool's name.
     * @param sentAtMillis The time of sending by the sender's clock, to be echoed.
     * @param lastNumber The request number that the sender used last.
     * @param numbers The numbers of the requests that hold a slot or wait for one.
     */
    record Renewal(String pool, long sentAtMillis, long lastNumber, List<Long> numbers)
            implements LeaderMessage {}

    /**
     * Replies to a report or a renewal, or redirects an instance without being requested.
     *
     * @param pool The pool's name.
     * @param sentAtMillis The time of sending that the answered message carried, or zero.
     * @param status The number of the {@link ReplyStatus}.
     * @param leader The name of the leader to join if the status redirects, or an empty string.
     */
    record LeaderReply(String pool, long sentAtMillis, int status, String leader)
            implements LeaderMessage {}

    /**
     * Requests that an entry instance follow the sender as leader.
     *
     * @param pool The pool's name.
     */
    record FollowRequest(String pool) implements LeaderMessage {}

    /**
     * Replies to a request to follow a leader.
     *
     * @param pool The pool's name.
     * @param joined {@code true} if the replying instance follows the requesting one from now on.
     * @param leader The leader that the replying instance follows, or an empty string.
     * @param report The slots that the replying instance holds.
     * @param replicas The slots of others that were replicated to the replying instance.
     */
    record FollowReply(
            String pool, boolean joined, String leader, Report report, List<GrantReplica> replicas)
            implements LeaderMessage {

        /**
         * Returns this reply with the slots of others.
         *
         * @param replicas The slots of others.
         * @return The reply.
         */
        FollowReply withReplicas(List<GrantReplica> replicas) {
            return new FollowReply(pool, joined, leader, report, replicas);
        }
    }
}
