package io.chicorytrestle.core.chat;

import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.endpoint.EngineClient;
import io.chicorytrestle.core.poison.Fingerprinter;
import io.chicorytrestle.core.poison.PoisonGuard;
import io.chicorytrestle.core.retry.RetryPolicy;
import io.chicorytrestle.core.routing.Dispatcher;
import java.util.function.LongSupplier;

/**
 * Groups the dependencies of a chat coordinator.
 *
 * @param blackboard Provides the table of weights and limits.
 * @param dispatcher Admits turns and chooses their engines.
 * @param engines The client of the engines.
 * @param poisonGuard Holds back requests that are suspected of crashing engines.
 * @param fingerprinter Computes the fingerprints of requests.
 * @param retryPolicy Decides whether a failed attempt is retried.
 * @param frameValidators Creates the validators of response frames.
 * @param clock Returns the current time in milliseconds.
 */
public record ChatEnvironment(
        Blackboard blackboard,
        Dispatcher dispatcher,
        EngineClient engines,
        PoisonGuard poisonGuard,
        Fingerprinter fingerprinter,
        RetryPolicy retryPolicy,
        FrameValidator.Factory frameValidators,
        LongSupplier clock) {}
