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
 * Detects that this process was paused. It must be stepped before all other controllers, so that
 * state that expired during the pause is dropped before any of them acts on it.
 */
public final class PauseDetector implements Controller {

    /** Receives the heartbeat. */
    private final Blackboard blackboard;

    /** Records the pauses. */
    private final AuditTrail auditTrail;

    /** Called after a pause with the present time in milliseconds, to drop what expired. */
    private final List<LongConsumer> pauseListeners;

    /**
     * Creates a new detector.
     *
     * @param blackboard Receives the heartbeat.
     * @param auditTrail Records the pauses.
     * @param pauseListeners Called after a pause with the present time in milliseconds, to drop
     *     what expired.
     */
    public PauseDetector(
            Blackboard blackboard, AuditTrail auditTrail, List<LongConsumer> pauseListeners) {
        this.blackboard = blackboard;
        this.auditTrail = auditTrail;
        this.pauseListeners = List.copyOf(pauseListeners);
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
