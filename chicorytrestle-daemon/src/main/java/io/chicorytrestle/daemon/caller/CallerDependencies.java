package io.chicorytrestle.daemon.caller;

import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.call.CallCoordinator;
import io.chicorytrestle.core.chat.ChatCoordinator;
import io.chicorytrestle.daemon.loop.MonotonicClock;
import io.chicorytrestle.daemon.settings.Settings;

/**
 * Holds the collaborators of the HTTP server for callers.
 *
 * @param blackboard Supplies the table, the workspaces' keys and the membership.
 * @param chatCoordinator Executes chat turns.
 * @param callCoordinator Executes calls of plain services.
 * @param settings The settings of this process.
 * @param clock Supplies the current time.
 * @param requestLimiter Limits the requests in flight.
 * @param requestIds Generates the identifiers of requests.
 * @param metrics Records what callers experience.
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
