package io.chicorytrestle.core.chat;

import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.endpoint.EngineClient;
import io.chicorytrestle.core.poison.Fingerprinter;
import io.chicorytrestle.core.poison.PoisonGuard;
import io.chicorytrestle.core.retry.RetryPolicy;
import io.chicorytrestle.core.routing.Dispatcher;
import java.util.function.LongSupplier;

/**
 * Holds what a coordinator of chat turns works with.
 *
 * @param blackboard Holds the table.
 * @param dispatcher Chooses the engines.
 * @param engines Reaches the engines.
 * @param poisonGuard Holds back requests that crash engines.
 * @param fingerprinter Computes fingerprints of requests.
 * @param retryPolicy Decides on further attempts.
 * @param frameValidators Creates the checks of frames.
 * @param clock Tells the present time in milliseconds.
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
