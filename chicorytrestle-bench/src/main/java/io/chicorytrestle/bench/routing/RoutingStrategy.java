package io.chicorytrestle.bench.routing;

import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.routing.WorkOutcome;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** A way to choose engines. */
interface RoutingStrategy {

    /**
     * Chooses an engine for a turn.
     *
     * @param turn The turn.
     * @param requestId The identifier of the attempt.
     * @param placement The placement token that the caller presents, or empty.
     * @param excluded The names of engines that must not be chosen.
     * @param consumer Receives the choice, or empty if the turn was refused as not run.
     */
    void chooseEngine(
            Turn turn,
            String requestId,
            Optional<String> placement,
            Set<String> excluded,
            Consumer<Optional<Choice>> consumer);

    /**
     * Holds a choice.
     *
     * @param endpoint The engine.
     * @param priority The priority to pass on.
     * @param completion Takes the choice back.
     */
    record Choice(Endpoint endpoint, int priority, Completion completion) {}

    /** Takes a choice back. */
    @FunctionalInterface
    interface Completion {

        /**
         * Takes the choice back.
         *
         * @param outcome How the work ended.
         * @return The placement token, or empty.
         */
        Optional<String> complete(WorkOutcome outcome);
    }
}
