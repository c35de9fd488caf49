package io.chicorytrestle.bench.routing;

/** Enumerates what happens to engines. */
enum EngineFault {
    /** The engine crashes and starts again with an empty cache. */
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
    /** The engine finishes what it has, stops and starts again with an empty cache. */
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
    /** The list leaves the engine out though it runs. */
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
     * Begins the trouble.
     *
     * @param fleet The fleet.
     * @param engine The engine.
     */
    abstract void inject(SimulatedEngineFleet fleet, SimulatedEngine engine);

    /**
     * Ends the trouble.
     *
     * @param fleet The fleet.
     * @param engine The engine.
     */
    abstract void recover(SimulatedEngineFleet fleet, SimulatedEngine engine);
}
