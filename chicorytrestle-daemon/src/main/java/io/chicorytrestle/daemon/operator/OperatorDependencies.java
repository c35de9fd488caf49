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
 * Holds the collaborators of the HTTP server for operators.
 *
 * @param self The identity of this entry instance.
 * @param blackboard Supplies the membership view.
 * @param tableRegistry Holds the table in force.
 * @param dispatcher Explains the selection of endpoints.
 * @param auditTrail Supplies the latest audit events.
 * @param metrics The metrics of the process.
 * @param readiness Supplies whether the process can serve.
 * @param clock Supplies the current time.
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
