package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.InstanceIdentity;

/**
 * Holds a request that waits for a place.
 *
 * @param sender The entry instance that asks.
 * @param request The request.
 * @param enqueuedAtMillis The time since which it has waited, in milliseconds.
 */
record QueuedRequest(
        InstanceIdentity sender, LeaderMessage.AdmitRequest request, long enqueuedAtMillis) {

    /**
     * Returns {@code true} if this is a given request.
     *
     * @param holder The entry instance that asks.
     * @param number The number of the request.
     * @return {@code true} if this is the request.
     */
    boolean matches(InstanceIdentity holder, long number) {
        return sender.equals(holder) && request.requestNumber() == number;
    }
}
