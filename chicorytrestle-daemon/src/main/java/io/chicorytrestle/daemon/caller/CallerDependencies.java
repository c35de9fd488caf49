package io.chicorytrestle.daemon.caller;

import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.call.CallCoordinator;
import io.chicorytrestle.core.chat.ChatCoordinator;
import io.chicorytrestle.daemon.loop.MonotonicClock;
import io.chicorytrestle.daemon.settings.Settings;

/**
 * Holds what the interface towards callers works with.
 *
 * @param blackboard Holds the table, the keys and the membership.
 * @param chatCoordinator Answers chat turns.
 * @param callCoordinator Executes calls of plain services.
 * @param settings The settings.
 * @param clock Tells the present time.
 * @param requestLimiter Counts the requests in flight.
 * @param requestIds Names requests.
 * @param metrics Takes measurements.
 */
public record CallerDependencies(
        Blackboard blackboard,
        ChatCoordinator chatCoordinator,
        CallCoordinator callCoordinator,
        Settings settings,
        MonotonicClock clock,
        RequestLimiter requestLimiter,
        RequestIdGenerator requestIds,
        CallerMetrics metrics) {}
