package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.peer.PeerMessage;
import java.util.List;

/** A message between an entry instance and the steward of a pool. */
public sealed interface LeaderMessage extends PeerMessage {

    /**
     * Returns the pool that the message concerns.
     *
     * @return The pool's name.
     */
    String pool();

    /**
     * Asks the steward for a place.
     *
     * @param pool The pool's name.
     * @param requestNumber The number of the request, growing at its entry instance.
     * @param workspace The workspace that the place is counted for.
     * @param chatHash The hash of the chat.
     * @param promptTokens The tokens of the prompt.
     * @param maximumWaitMillis The most milliseconds to wait for the place.
     * @param cacheHints What is believed of the chat's cached tokens, at most one claim.
     * @param excludedEndpoints The names of endpoints that must not be chosen.
     * @param poolCapacity The capacity of the pool by the sender's view.
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
     * Tells where a chat's last turn ran.
     *
     * @param engine The engine's name.
     * @param incarnation The engine's incarnation.
     * @param cachedTokens The tokens that the engine held after the turn.
     * @param ageMillis The milliseconds since the turn's end.
     */
    record CacheHint(String engine, long incarnation, int cachedTokens, long ageMillis) {}

    /**
     * Answers a request for a place.
     *
     * @param pool The pool's name.
     * @param requestNumber The number of the request.
     * @param status The number of the {@link ReplyStatus}.
     * @param target The endpoint if the answer grants, the steward to ask if it redirects, or
     *     empty.
     * @param incarnation The incarnation of the endpoint, or zero.
     * @param expectedCachedTokens The tokens of the prompt that the endpoint is believed to hold.
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
     * Hands a place back, or gives the wait for it up.
     *
     * @param pool The pool's name.
     * @param requestNumber The number of the request.
     * @param chatHash The hash of the chat.
     * @param cachedTokens The tokens that the endpoint holds of the chat now, or zero.
     * @param endpointFailed Whether the endpoint refused the work or broke off.
     */
    record Release(
            String pool,
            long requestNumber,
            long chatHash,
            int cachedTokens,
            boolean endpointFailed)
            implements LeaderMessage {

        /**
         * Returns the release of a place that was not used.
         *
         * @param pool The pool's name.
         * @param number The number of the request.
         * @return The release.
         */
        static Release of(String pool, long number) {
            return new Release(pool, number, 0, 0, false);
        }
    }

    /**
     * Joins a steward and reports every place that is held.
     *
     * @param pool The pool's name.
     * @param sentAtMillis The time of sending by the sender's clock, to be echoed.
     * @param lastNumber The number that the sender used last.
     * @param slots The places that are held.
     */
    record Report(String pool, long sentAtMillis, long lastNumber, List<ReportedSlot> slots)
            implements LeaderMessage {}

    /**
     * Shows places that only the steward knows of, its own and those of instances that are gone, to
     * the instance that would follow it in office, so that they are not forgotten with it.
     *
     * @param pool The pool's name.
     * @param holder The name of the entry instance that holds or held the places.
     * @param zone The holder's availability zone.
     * @param incarnation The holder's incarnation.
     * @param remainingMillis The milliseconds for which the places count if the holder is gone.
     * @param slots The places.
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
         * Returns the shadow of a holder's places.
         *
         * @param pool The pool's name.
         * @param holder The holder.
         * @param remainingMillis The milliseconds for which the places count.
         * @param slots The places.
         * @return The shadow.
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
         * Returns the holder.
         *
         * @return The holder.
         */
        InstanceIdentity holderIdentity() {
            return new InstanceIdentity(holder, zone, incarnation);
        }
    }

    /**
     * Holds a place on an endpoint.
     *
     * @param requestNumber The number of the request.
     * @param endpointName The endpoint's name.
     * @param incarnation The endpoint's incarnation.
     * @param workspace The workspace that the place is counted for.
     */
    record ReportedSlot(
            long requestNumber, String endpointName, long incarnation, String workspace) {}

    /**
     * Renews the lease of the places that are held.
     *
     * @param pool The pool's name.
     * @param sentAtMillis The time of sending by the sender's clock, to be echoed.
     * @param lastNumber The number that the sender used last.
     * @param numbers The numbers of places that are held or asked for.
     */
    record Renewal(String pool, long sentAtMillis, long lastNumber, List<Long> numbers)
            implements LeaderMessage {}

    /**
     * Answers a report or a renewal.
     *
     * @param pool The pool's name.
     * @param sentAtMillis The time that the answered message carried.
     * @param status The number of the {@link ReplyStatus}.
     * @param leader The steward to ask if the answer redirects, or empty.
     */
    record LeaderReply(String pool, long sentAtMillis, int status, String leader)
            implements LeaderMessage {}

    /**
     * Asks an entry instance to join the sender as steward.
     *
     * @param pool The pool's name.
     */
    record FollowRequest(String pool) implements LeaderMessage {}

    /**
     * Answers an inquiry.
     *
     * @param pool The pool's name.
     * @param joined {@code true} if the answering instance follows the asking one from now on.
     * @param leader The steward that the answering instance follows, or empty.
     * @param report The places that the answering instance holds.
     * @param replicas The places of others that the answering instance was shown.
     */
    record FollowReply(
            String pool, boolean joined, String leader, Report report, List<GrantReplica> replicas)
            implements LeaderMessage {

        /**
         * Returns this answer with the places of others.
         *
         * @param shadows The places.
         * @return The answer.
         */
        FollowReply withReplicas(List<GrantReplica> shadows) {
            return new FollowReply(pool, joined, leader, report, shadows);
        }
    }
}
