package io.chicorytrestle.core.call;

import java.util.Set;

/**
 * Holds the settings of calls to plain services.
 *
 * @param ticketLifetimeMillis The time from its issue during which a ticket may be used to start
 *     its call, in milliseconds.
 * @param forwardTimeoutMillis The time-out of one request to another entry instance, in
 *     milliseconds.
 * @param idempotencyKeyPools The names of the pools whose services deduplicate calls by idempotency
 *     key.
 */
public record CallSettings(
        long ticketLifetimeMillis, long forwardTimeoutMillis, Set<String> idempotencyKeyPools) {

    /**
     * The default settings: tickets are valid for ten minutes, requests to other instances time out
     * after three seconds.
     */
    public static final CallSettings DEFAULT = new CallSettings(600_000, 3_000, Set.of());

    /** Creates new settings with an immutable copy of the pools. */
    public CallSettings {
        idempotencyKeyPools = Set.copyOf(idempotencyKeyPools);
    }
}
