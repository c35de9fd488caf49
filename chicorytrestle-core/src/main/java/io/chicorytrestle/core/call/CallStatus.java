package io.chicorytrestle.core.call;

import io.chicorytrestle.core.verdict.Verdict;
import java.util.Optional;

/**
 * Holds the status of a ticket's call.
 *
 * @param verdict Whether the call may have been executed.
 * @param finished {@code true} if the verdict can no longer change.
 * @param outcome The outcome, if the call was executed and its outcome is stored; otherwise empty.
 */
public record CallStatus(Verdict verdict, boolean finished, Optional<CallOutcome> outcome) {}
