package io.chicorytrestle.core.membership;

/**
 * Enumerates the states that an entry instance assumes for an endpoint or another entry instance.
 */
public enum EndpointState {

    /** The endpoint takes new work. */
    LIVE(true),

    /** The endpoint failed recently and receives work only if no live one can take it. */
    SUSPECT(false),

    /** The endpoint completes its running work and takes no new work. */
    LEAVING(false),

    /** The endpoint is missing on the platform's list and has not responded recently. */
    GONE(false);

    /** Whether an endpoint in this state normally takes new work. */
    private final boolean acceptsWork;

    /**
     * Creates a new state.
     *
     * @param acceptsWork Whether an endpoint in this state normally takes new work.
     */
    EndpointState(boolean acceptsWork) {
        this.acceptsWork = acceptsWork;
    }

    /**
     * Returns {@code true} if an endpoint in this state normally takes new work.
     *
     * @return {@code true} only for a live endpoint.
     */
    public boolean acceptsWork() {
        return acceptsWork;
    }
}
