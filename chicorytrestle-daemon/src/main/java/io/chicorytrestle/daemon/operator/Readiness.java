package io.chicorytrestle.daemon.operator;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The body of the readiness check, with each condition.
 *
 * @param table {@code true} once a table was accepted.
 * @param keys {@code true} once workspace keys were read.
 * @param membership {@code true} once an endpoint is known.
 * @param caughtUp {@code true} unless a reachable peer is known to hold a newer table.
 * @param draining {@code true} once the process shuts down.
 */
public record Readiness(
        boolean table, boolean keys, boolean membership, boolean caughtUp, boolean draining) {

    /**
     * Returns whether all conditions hold.
     *
     * @return {@code true} if the process can serve.
     */
    @JsonProperty
    public boolean ready() {
        return table && keys && membership && caughtUp && !draining;
    }
}
