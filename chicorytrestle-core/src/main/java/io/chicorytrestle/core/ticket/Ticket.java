package io.chicorytrestle.core.ticket;

import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.identity.Names;

/**
 * Permits one call that is not idempotent, which only its issuer executes.
 *
 * @param issuer The incarnation of the entry instance that issued the ticket.
 * @param workspace The workspace that may use the ticket.
 * @param number The number of the ticket, unique for its issuer.
 * @param expiresAtMillis The time from which the call may no longer be started, in milliseconds.
 */
public record Ticket(InstanceIdentity issuer, String workspace, long number, long expiresAtMillis) {

    /**
     * Creates a new ticket.
     *
     * @throws IllegalArgumentException If the workspace's name is malformed.
     */
    public Ticket {
        Names.require("workspace", workspace);
    }

    /**
     * Returns {@code true} if the ticket's call may no longer be started.
     *
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the ticket is expired.
     */
    public boolean isExpired(long nowMillis) {
        return nowMillis >= expiresAtMillis;
    }
}
