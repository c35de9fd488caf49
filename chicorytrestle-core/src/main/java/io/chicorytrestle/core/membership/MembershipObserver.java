package io.chicorytrestle.core.membership;

import io.chicorytrestle.core.identity.EndpointIdentity;

/**
 * Receives this entry instance's own observations of members. Implementations must be thread-safe.
 */
public interface MembershipObserver {

    /**
     * Records that an endpoint responded, for example to a request or with a load report.
     *
     * @param endpoint The endpoint's run.
     * @param nowMillis The present time in milliseconds.
     */
    void endpointSucceeded(EndpointIdentity endpoint, long nowMillis);

    /**
     * Records that connecting to an endpoint failed, a connection to it broke, or it crashed.
     *
     * @param endpoint The endpoint's run.
     * @param nowMillis The present time in milliseconds.
     */
    void endpointFailed(EndpointIdentity endpoint, long nowMillis);

    /**
     * Records that an endpoint refused work because it is leaving.
     *
     * @param endpoint The endpoint's run.
     * @param nowMillis The present time in milliseconds.
     */
    void endpointLeaving(EndpointIdentity endpoint, long nowMillis);

    /**
     * Records that an endpoint reported a later incarnation than the known one.
     *
     * @param endpoint The endpoint's run.
     * @param nowMillis The present time in milliseconds.
     */
    void endpointRestarted(EndpointIdentity endpoint, long nowMillis);

    /**
     * Records that an entry instance could not be reached.
     *
     * @param instance The entry instance's name.
     * @param nowMillis The present time in milliseconds.
     */
    void instanceFailed(String instance, long nowMillis);

    /**
     * Records that an entry instance responded.
     *
     * @param instance The entry instance's name.
     * @param nowMillis The present time in milliseconds.
     */
    void instanceSucceeded(String instance, long nowMillis);

    /** An observer that ignores all observations. */
    enum NoOp implements MembershipObserver {

        /** The singleton instance. */
        INSTANCE;

        @Override
        public void endpointSucceeded(EndpointIdentity endpoint, long nowMillis) {
            /* do nothing */
        }

        @Override
        public void endpointFailed(EndpointIdentity endpoint, long nowMillis) {
            /* do nothing */
        }

        @Override
        public void endpointLeaving(EndpointIdentity endpoint, long nowMillis) {
            /* do nothing */
        }

        @Override
        public void endpointRestarted(EndpointIdentity endpoint, long nowMillis) {
            /* do nothing */
        }

        @Override
        public void instanceFailed(String instance, long nowMillis) {
            /* do nothing */
        }

        @Override
        public void instanceSucceeded(String instance, long nowMillis) {
            /* do nothing */
        }
    }
}
