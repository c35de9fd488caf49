package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.gateway.fleet.FleetState;

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

    /** Applies what endpoints state in their responses to the state of the fleet. */
    final class ForFleet implements LeavingEndpoints {

        /** Knows the leaving endpoints. */
        private final FleetState fleetState;

        /**
         * Creates an object for the state of one instance.
         *
         * @param fleetState Knows the leaving endpoints.
         */
        public ForFleet(FleetState fleetState) {
            this.fleetState = fleetState;
        }

        @Override
        public void markLeaving(String incarnation, long nowMillis) {
            fleetState.markLeaving(incarnation, "endpoint", nowMillis);
        }

        @Override
        public boolean isLeaving(String incarnation) {
            return fleetState.isLeaving(incarnation);
        }
    }
}
