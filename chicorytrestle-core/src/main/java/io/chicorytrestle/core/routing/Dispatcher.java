package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.blackboard.Controller;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Chooses endpoints for requests and enforces the load bound, the ceilings and the shares. It is
 * thread-safe. Its owner calls {@link Controller#step} every few tens of milliseconds.
 */
public interface Dispatcher extends Controller {

    /**
     * Requests admission of a piece of work.
     *
     * @param request The work.
     * @param nowMillis The current time in milliseconds.
     * @return The admission, possibly after waiting in a queue. The future fails with a {@link
     *     RequestFailureException} whose verdict is {@code NOT_RUN} if the request is refused or
     *     not admitted in time. Cancelling the future ends the wait.
     */
    CompletableFuture<Admission> admit(WorkRequest request, long nowMillis);

    /**
     * Releases an admission.
     *
     * @param admission The admission.
     * @param outcome How the work ended.
     * @param nowMillis The current time in milliseconds.
     * @return The encoded placement token to return to the caller, or empty if there is none.
     */
    Optional<String> complete(Admission admission, WorkOutcome outcome, long nowMillis);

    /**
     * Describes the endpoints that could run a request.
     *
     * @param request The work.
     * @param nowMillis The current time in milliseconds.
     * @return One line for each candidate in order of preference, the one that would be chosen
     *     first.
     */
    List<String> explain(WorkRequest request, long nowMillis);
}
