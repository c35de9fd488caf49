package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.InstanceIdentity;

/**
 * A request that waits for a slot at the leader.
 *
 * @param sender The entry instance that requests the slot.
 * @param request The request.
 * @param enqueuedAtMillis The time at which it was queued, in milliseconds.
 */
record QueuedRequest(
        InstanceIdentity sender, LeaderMessage.AdmitRequest request, long enqueuedAtMillis) {

    /**
     * Returns {@code true} if this request has the given sender and number.
     *
     * @param holder The entry instance.
     * @param requestNumber The number of the request.
     * @return {@code true} if both are equal.
     */
    boolean matches(InstanceIdentity holder, long requestNumber) {
        return sender.equals(holder) && request.requestNumber() == requestNumber;
    }
}
