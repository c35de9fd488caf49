package io.chicorytrestle.core.blackboard;

import java.util.List;

/**
 * Reads values from the blackboard, makes decisions and writes their results, one step at a time.
 */
public interface Controller {

    /**
     * Runs one step.
     *
     * @param nowMillis The present time in milliseconds of a monotonic clock.
     */
    void step(long nowMillis);

    /** A controller that does nothing. */
    enum NoOp implements Controller {

        /** The singleton instance. */
        INSTANCE;

        @Override
        public void step(long nowMillis) {
            /* do nothing */
        }
    }

    /** A controller that runs the steps of several controllers in order. */
    final class Compound implements Controller {

        /** The controllers to step, in order. */
        private final List<Controller> controllers;

        /**
         * Creates a new compound controller.
         *
         * @param controllers The controllers to step, in order.
         */
        public Compound(List<? extends Controller> controllers) {
            this.controllers = List.copyOf(controllers);
        }

        @Override
        public void step(long nowMillis) {
            controllers.forEach(controller -> controller.step(nowMillis));
        }
    }
}
