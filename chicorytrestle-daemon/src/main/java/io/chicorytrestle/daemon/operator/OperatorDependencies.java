package io.chicorytrestle.daemon.operator;

import com.codahale.metrics.MetricRegistry;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.routing.Dispatcher;
import io.chicorytrestle.core.table.TableRegistry;
import io.chicorytrestle.daemon.log.LoggingAuditTrail;
import io.chicorytrestle.daemon.loop.MonotonicClock;
import java.util.function.Supplier;

/**
 * Holds what operators read.
 *
 * @param self The identity of this entry instance.
 * @param blackboard Holds the table and the membership.
 * @param tableRegistry Keeps the table in force.
 * @param dispatcher Explains choices.
 * @param auditTrail Keeps the latest changes.
 * @param metrics The metrics of the process.
 * @param readiness Tells whether the process can serve.
 * @param clock Tells the present time.
 */
public record OperatorDependencies(
        InstanceIdentity self,
        Blackboard blackboard,
        TableRegistry tableRegistry,
        Dispatcher dispatcher,
        LoggingAuditTrail auditTrail,
        MetricRegistry metrics,
        Supplier<Readiness> readiness,
        MonotonicClock clock) {}
