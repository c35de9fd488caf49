package io.chicorytrestle.core.pause;

import io.chicorytrestle.core.audit.AuditEvent;
import io.chicorytrestle.core.audit.AuditTrail;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Controller;
import io.chicorytrestle.core.blackboard.Topics;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * Notices that this process stood still. It is stepped before all other controllers, and has what
 * expired dropped before any of them acts.
 */
public final class PauseDetector implements Controller {

    /** Receives the pulse. */
    private final Blackboard blackboard;

    /** Receives the pauses. */
    private final AuditTrail auditTrail;

    /** Drop what expired, given the present time in milliseconds. */
    private final List<LongConsumer> pauseListeners;

    /**
     * Creates a new detector.
     *
     * @param blackboard Receives the pulse.
     * @param auditTrail Receives the pauses.
     * @param listeners Drop what expired, given the present time in milliseconds.
     */
    public PauseDetector(
            Blackboard blackboard, AuditTrail auditTrail, List<LongConsumer> listeners) {
        this.blackboard = blackboard;
        this.auditTrail = auditTrail;
        this.pauseListeners = List.copyOf(listeners);
    }

    @Override
    public void step(long nowMillis) {
        ProcessHeartbeat before = blackboard.read(Topics.HEARTBEAT);
        ProcessHeartbeat after = before.afterStep(nowMillis);
        if (after.pauseCount() > before.pauseCount()) {
            pauseListeners.forEach(listener -> listener.accept(nowMillis));
            recordPause(nowMillis - before.lastStepMillis(), nowMillis);
        }
        blackboard.write(Topics.HEARTBEAT, after);
    }

    /**
     * Records a pause.
     *
     * @param pauseMillis The length of the pause in milliseconds.
     * @param nowMillis The present time in milliseconds.
     */
    private void recordPause(long pauseMillis, long nowMillis) {
        auditTrail.record(
                new AuditEvent(
                        AuditEvent.Kind.PAUSE,
                        "this entry instance",
                        "no step for too long",
                        blackboard.read(Topics.TABLE).version(),
                        nowMillis,
                        Map.of("pauseMillis", Long.toString(pauseMillis))));
    }
}
