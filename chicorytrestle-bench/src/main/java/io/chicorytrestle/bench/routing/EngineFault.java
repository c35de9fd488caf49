package io.chicorytrestle.bench.routing;

/** Enumerates the faults that are injected into engines. */
enum EngineFault {
    /** The engine crashes and restarts with an empty cache. */
    CRASH {
        @Override
        void inject(SimulatedEngineFleet fleet, SimulatedEngine engine) {
            engine.kill();
        }

        @Override
        void recover(SimulatedEngineFleet fleet, SimulatedEngine engine) {
            engine.restart();
        }
    },
    /** The engine drains, stops and restarts with an empty cache. */
    LEAVE {
        @Override
        void inject(SimulatedEngineFleet fleet, SimulatedEngine engine) {
            engine.startLeaving();
        }

        @Override
        void recover(SimulatedEngineFleet fleet, SimulatedEngine engine) {
            engine.kill();
            engine.restart();
        }
    },
    /** The membership list omits the engine although it is running. */
    HIDE {
        @Override
        void inject(SimulatedEngineFleet fleet, SimulatedEngine engine) {
            fleet.setHidden(engine.endpoint().name(), true);
        }

        @Override
        void recover(SimulatedEngineFleet fleet, SimulatedEngine engine) {
            fleet.setHidden(engine.endpoint().name(), false);
        }
    };

    /**
     * Starts the fault.
     *
     * @param fleet The fleet.
     * @param engine The engine.
     */
    abstract void inject(SimulatedEngineFleet fleet, SimulatedEngine engine);

    /**
     * Ends the fault.
     *
     * @param fleet The fleet.
     * @param engine The engine.
     */
    abstract void recover(SimulatedEngineFleet fleet, SimulatedEngine engine);
}
