package io.chicorytrestle.bench.history;

/** Enumerates the faults that a history injects. */
public enum FaultKind {

    /** An entry instance dies at once and starts again at the same address. */
    INSTANCE_KILLED {
        @Override
        void inject(HistorySimulation world, Fault fault) {
            world.kill(world.instanceName(fault.target()), fault.durationMillis());
        }
    },

    /** An entry instance stands still for a while. */
    INSTANCE_PAUSED {
        @Override
        void inject(HistorySimulation world, Fault fault) {
            world.pause(world.instanceName(fault.target()), fault.durationMillis());
        }
    },

    /** An entry instance is shut down gracefully and starts again. */
    INSTANCE_DRAINED {
        @Override
        void inject(HistorySimulation world, Fault fault) {
            world.drain(world.instanceName(fault.target()), HistorySimulation.DRAIN_MILLIS);
        }
    },

    /** An entry instance is shut down with a deadline shorter than its calls. */
    INSTANCE_DRAINED_IN_HASTE {
        @Override
        void inject(HistorySimulation world, Fault fault) {
            world.drain(world.instanceName(fault.target()), HistorySimulation.SHORT_DRAIN_MILLIS);
        }
    },

    /** An availability zone is cut off from the others. */
    ZONE_CUT {
        @Override
        void inject(HistorySimulation world, Fault fault) {
            world.isolateZone(fault.target(), fault.durationMillis());
        }
    },

    /** An endpoint dies at once and starts again. */
    ENDPOINT_CRASHED {
        @Override
        void inject(HistorySimulation world, Fault fault) {
            world.endpoints().crash(fault.target(), fault.durationMillis());
        }
    },

    /** An endpoint leaves. */
    ENDPOINT_LEAVING {
        @Override
        void inject(HistorySimulation world, Fault fault) {
            world.endpoints().leave(fault.target(), fault.durationMillis());
        }
    },

    /** Connections break before or after plain services executed what they carried. */
    ANSWERS_DROPPED {
        @Override
        void inject(HistorySimulation world, Fault fault) {
            world.endpoints().dropResponses(fault.durationMillis());
        }
    },

    /** Frames arrive twice, late, in another order, of another request, or not at all. */
    FRAMES_DISTURBED {
        @Override
        void inject(HistorySimulation world, Fault fault) {
            world.endpoints().disturbFrames(fault.durationMillis());
        }
    },

    /** Old and new versions of the table are offered in any order. */
    TABLES_REORDERED {
        @Override
        void inject(HistorySimulation world, Fault fault) {
            world.offerTables();
        }
    };

    /**
     * Brings the fault about.
     *
     * @param world The world.
     * @param fault The fault.
     */
    abstract void inject(HistorySimulation world, Fault fault);
}
