package io.chicorytrestle.daemon.log;

import com.google.common.flogger.FluentLogger;
import io.chicorytrestle.core.audit.AuditEvent;
import io.chicorytrestle.core.audit.AuditTrail;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Writes each change as a log line and keeps the latest ones under the same numbers. */
public final class LoggingAuditTrail implements AuditTrail {

    /** Writes log lines. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The name of the entry instance. */
    private final String instance;

    /** The latest changes. */
    private final ForMemory recentEvents;

    /** The number of the latest change; guarded by the kept changes. */
    private long lastSequence;

    /**
     * Creates a new trail.
     *
     * @param instance The name of the entry instance.
     * @param capacity The most changes to keep.
     */
    public LoggingAuditTrail(String instance, int capacity) {
        this.instance = instance;
        recentEvents = new ForMemory(capacity);
    }

    @Override
    public void record(AuditEvent event) {
        long number;
        synchronized (recentEvents) {
            recentEvents.record(event);
            lastSequence++;
            number = lastSequence;
        }
        try (LogScope ignored = LogScope.of(logFields(event, number))) {
            LOGGER.atInfo().log("Recorded change %s of %s", event.kind(), event.subject());
        }
    }

    /**
     * Returns the changes after another.
     *
     * @param after The number of the other change, or zero for all that are kept.
     * @return The changes, oldest first.
     */
    public List<ForMemory.Entry> entriesAfter(long after) {
        return recentEvents.entriesAfter(after);
    }

    /**
     * Returns the fields of a change's log line.
     *
     * @param event The change.
     * @param number The change's number.
     * @return The fields by name.
     */
    private Map<String, String> logFields(AuditEvent event, long number) {
        Map<String, String> fields = new TreeMap<>();
        event.details().forEach((name, value) -> fields.put("audit.detail." + name, value));
        fields.put("audit.instance", instance);
        fields.put("audit.sequence", Long.toString(number));
        fields.put("audit.kind", event.kind().name());
        fields.put("audit.subject", event.subject());
        fields.put("audit.cause", event.cause());
        fields.put("audit.tableVersion", Long.toString(event.tableVersion()));
        fields.put("audit.atMillis", Long.toString(event.atMillis()));
        return fields;
    }
}
