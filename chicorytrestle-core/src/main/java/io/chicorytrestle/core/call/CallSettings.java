package io.chicorytrestle.core.call;

import java.util.Set;

/**
 * Holds the settings of calls of plain services.
 *
 * @param ticketLifetimeMillis How long a ticket's call may be started, in milliseconds.
 * @param forwardTimeoutMillis How long one try to reach a ticket's issuer waits, in milliseconds.
 * @param idempotencyKeyPools The pools whose services recognize idempotency keys.
 */
public record CallSettings(
        long ticketLifetimeMillis, long forwardTimeoutMillis, Set<String> idempotencyKeyPools) {

    /** The settings of an ordinary entry instance. */
    public static final CallSettings DEFAULT = new CallSettings(600_000, 3_000, Set.of());

    /** Creates new settings. */
    public CallSettings {
        idempotencyKeyPools = Set.copyOf(idempotencyKeyPools);
    }
}
