package io.chicorytrestle.bench.history;

/** Enumerates the kinds of faults that a history injects. The names appear in reports. */
public enum FaultKind {

    /** An entry instance crashes and restarts at the same address. */
    INSTANCE_KILLED {
        @Override
        void inject(HistorySimulation simulation, Fault fault) {
            simulation.kill(simulation.instanceName(fault.target()), fault.durationMillis());
        }
    },

    /** An entry instance makes no progress for a while, as in a long garbage collection. */
    INSTANCE_PAUSED {
        @Override
        void inject(HistorySimulation simulation, Fault fault) {
            simulation.pause(simulation.instanceName(fault.target()), fault.durationMillis());
        }
    },

    /** An entry instance is shut down gracefully and restarts. */
    INSTANCE_DRAINED {
        @Override
        void inject(HistorySimulation simulation, Fault fault) {
            simulation.drain(
                    simulation.instanceName(fault.target()), HistorySimulation.DRAIN_MILLIS);
        }
    },

    /** An entry instance is shut down with a deadline that is shorter than its calls take. */
    INSTANCE_DRAINED_IN_HASTE {
        @Override
        void inject(HistorySimulation simulation, Fault fault) {
            simulation.drain(
                    simulation.instanceName(fault.target()), HistorySimulation.SHORT_DRAIN_MILLIS);
        }
    },

    /** A network partition separates an availability zone from the others. */
    ZONE_CUT {
        @Override
        void inject(HistorySimulation simulation, Fault fault) {
            simulation.isolateZone(fault.target(), fault.durationMillis());
        }
    },

    /** An endpoint crashes and restarts. */
    ENDPOINT_CRASHED {
        @Override
        void inject(HistorySimulation simulation, Fault fault) {
            simulation.endpoints().crash(fault.target(), fault.durationMillis());
        }
    },

    /** An endpoint announces that it leaves, stops later and restarts. */
    ENDPOINT_LEAVING {
        @Override
        void inject(HistorySimulation simulation, Fault fault) {
            simulation.endpoints().leave(fault.target(), fault.durationMillis());
        }
    },

    /** Connections to services break, before or after the service executed the request. */
    ANSWERS_DROPPED {
        @Override
        void inject(HistorySimulation simulation, Fault fault) {
            simulation.endpoints().dropResponses(fault.durationMillis());
        }
    },

    /**
     * Frames are duplicated, delayed, reordered, lost or replaced by frames of another request, and
     * streams break or close early.
     */
    FRAMES_DISTURBED {
        @Override
        void inject(HistorySimulation simulation, Fault fault) {
            simulation.endpoints().disturbFrames(fault.durationMillis());
        }
    },

    /** Old and new versions of the table arrive at entry instances in random order. */
    TABLES_REORDERED {
        @Override
        void inject(HistorySimulation simulation, Fault fault) {
            simulation.offerTables();
        }
    };

    /**
     * Injects the fault at the present virtual time and schedules its end.
     *
     * @param simulation The simulation to inject the fault into.
     * @param fault The target and the duration of the fault.
     */
    abstract void inject(HistorySimulation simulation, Fault fault);
}
