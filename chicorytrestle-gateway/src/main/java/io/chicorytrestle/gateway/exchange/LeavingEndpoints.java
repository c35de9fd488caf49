package io.chicorytrestle.gateway.exchange;

/** Knows which incarnations of endpoints finish their work and accept no more. */
public interface LeavingEndpoints {

    /**
     * Records that an endpoint stated in a response that it is leaving.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The current time in milliseconds.
     */
    void markLeaving(String incarnation, long nowMillis);

    /**
     * Returns {@code true} if an incarnation must get no more requests.
     *
     * @param incarnation The incarnation of the endpoint.
     * @return {@code true} if it is leaving.
     */
    boolean isLeaving(String incarnation);

    /** Knows of no leaving endpoint. */
    enum NoOp implements LeavingEndpoints {

        /** The singleton instance. */
        INSTANCE;

        @Override
        public void markLeaving(String incarnation, long nowMillis) {}

        @Override
        public boolean isLeaving(String incarnation) {
            return false;
        }
    }
}
