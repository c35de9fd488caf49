package io.chicorytrestle.core.membership;

import io.chicorytrestle.core.identity.EndpointIdentity;

/** Takes what this entry instance observes of members. Several threads may call it. */
public interface MembershipObserver {

    /**
     * Takes note of a sign of life, such as an answer or a load report.
     *
     * @param endpoint The endpoint's run.
     * @param nowMillis The present time in milliseconds.
     */
    void endpointSucceeded(EndpointIdentity endpoint, long nowMillis);

    /**
     * Takes note of a failed connect, a broken connection or a crash.
     *
     * @param endpoint The endpoint's run.
     * @param nowMillis The present time in milliseconds.
     */
    void endpointFailed(EndpointIdentity endpoint, long nowMillis);

    /**
     * Takes note of an endpoint that refused work since it is leaving.
     *
     * @param endpoint The endpoint's run.
     * @param nowMillis The present time in milliseconds.
     */
    void endpointLeaving(EndpointIdentity endpoint, long nowMillis);

    /**
     * Takes note of an endpoint that reports a later incarnation than the one that is known.
     *
     * @param endpoint The endpoint's run.
     * @param nowMillis The present time in milliseconds.
     */
    void endpointRestarted(EndpointIdentity endpoint, long nowMillis);

    /**
     * Takes note of an entry instance that could not be reached.
     *
     * @param instance The entry instance's name.
     * @param nowMillis The present time in milliseconds.
     */
    void instanceFailed(String instance, long nowMillis);

    /**
     * Takes note of a sign of life from an entry instance.
     *
     * @param instance The entry instance's name.
     * @param nowMillis The present time in milliseconds.
     */
    void instanceSucceeded(String instance, long nowMillis);

    /** An observer that ignores everything. */
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
