package io.chicorytrestle.daemon.log;

import com.google.common.flogger.FluentLogger;
import io.chicorytrestle.core.audit.AuditEvent;
import io.chicorytrestle.core.audit.AuditTrail;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Logs each audit event and keeps the latest ones in memory under the same sequence numbers. */
public final class LoggingAuditTrail implements AuditTrail {

    /** The logger of this class. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The name of this entry instance, which is logged with each event. */
    private final String instance;

    /**
     * The latest audit events. Also the lock under which an event is both stored and numbered, so
     * that its sequence numbers in memory and in the log are equal.
     */
    private final ForMemory recentEvents;

    /** The sequence number of the latest logged event; guarded by {@link #recentEvents}. */
    private long lastSequence;

    /**
     * Creates an audit trail.
     *
     * @param instance The name of this entry instance.
     * @param capacity The maximum number of events to keep in memory.
     */
    public LoggingAuditTrail(String instance, int capacity) {
        this.instance = instance;
        recentEvents = new ForMemory(capacity);
    }

    @Override
    public void record(AuditEvent event) {
        long sequence;
        synchronized (recentEvents) {
            recentEvents.record(event);
            lastSequence++;
            sequence = lastSequence;
        }
        try (LogScope ignored = LogScope.of(logFields(event, sequence))) {
            LOGGER.atInfo().log("Recorded audit event %s of %s", event.kind(), event.subject());
        }
    }

    /**
     * Returns the events that are kept and follow a sequence number.
     *
     * @param after The sequence number, or zero for all events that are kept.
     * @return The events, oldest first.
     */
    public List<ForMemory.Entry> entriesAfter(long after) {
        return recentEvents.entriesAfter(after);
    }

    /**
     * Returns the fields of an event's log line.
     *
     * @param event The event.
     * @param sequence The sequence number of the event.
     * @return The values of the fields by name.
     */
    private Map<String, String> logFields(AuditEvent event, long sequence) {
        Map<String, String> fields = new TreeMap<>();
        event.details().forEach((name, value) -> fields.put("audit.detail." + name, value));
        fields.put("audit.instance", instance);
        fields.put("audit.sequence", Long.toString(sequence));
        fields.put("audit.kind", event.kind().name());
        fields.put("audit.subject", event.subject());
        fields.put("audit.cause", event.cause());
        fields.put("audit.tableVersion", Long.toString(event.tableVersion()));
        fields.put("audit.atMillis", Long.toString(event.atMillis()));
        return fields;
    }
}
