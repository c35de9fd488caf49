package io.chicorytrestle.bench.routing;

import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.routing.WorkOutcome;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** Chooses the engine that serves each turn of a simulated run. */
interface RoutingStrategy {

    /**
     * Chooses an engine for one attempt of a turn, at once or at a later virtual time.
     *
     * @param turn The turn.
     * @param requestId The identifier of the attempt.
     * @param placement The placement token presented by the caller, or empty if it presents none.
     * @param excluded The names of engines that must not be chosen.
     * @param consumer Receives the choice, or empty if the turn was refused without having run.
     */
    void chooseEngine(
            Turn turn,
            String requestId,
            Optional<String> placement,
            Set<String> excluded,
            Consumer<Optional<Choice>> consumer);

    /**
     * Describes the chosen engine.
     *
     * @param endpoint The engine.
     * @param priority The priority to submit the request with.
     * @param completion Called once when the attempt ends.
     */
    record Choice(Endpoint endpoint, int priority, Completion completion) {}

    /** Releases the slot taken by a choice. */
    @FunctionalInterface
    interface Completion {

        /**
         * Records the outcome of the work and releases its slot.
         *
         * @param outcome How the work ended.
         * @return The placement token for the chat's next turn, or empty.
         */
        Optional<String> complete(WorkOutcome outcome);
    }
}
