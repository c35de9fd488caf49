package io.chicorytrestle.gateway;

import io.chicorytrestle.core.blackboard.Controller;
import io.chicorytrestle.gateway.operations.GatewayMetrics;
import io.chicorytrestle.gateway.operations.UnexpectedErrorReporter;
import java.util.ArrayList;
import java.util.List;

/** The controllers of an instance, which run in the order in which they were added. */
final class Controllers {

    /** The controllers. */
    private final List<Controller> members = new ArrayList<>();

    /** Reports the errors of controllers. */
    private final UnexpectedErrorReporter errorReporter;

    /**
     * Creates an empty list.
     *
     * @param metrics Receives the counter of unexpected errors.
     */
    Controllers(GatewayMetrics metrics) {
        errorReporter = new UnexpectedErrorReporter(metrics);
    }

    /**
     * Adds a controller, which runs after those added before.
     *
     * @param controller The controller.
     */
    void add(Controller controller) {
        members.add(controller);
    }

    /**
     * Runs each controller once. An error in one is reported, and those after it run all the same.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void step(long nowMillis) {
        for (Controller controller : members) {
            try {
                controller.step(nowMillis);
            } catch (RuntimeException | Error error) {
                errorReporter.handle(error, controller);
            }
        }
    }
}
