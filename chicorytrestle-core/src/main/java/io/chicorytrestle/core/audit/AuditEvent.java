package io.chicorytrestle.core.audit;

import java.util.Map;
import java.util.TreeMap;

/**
 * Records one change.
 *
 * @param kind The kind of change.
 * @param subject The thing that changed, such as a row, an endpoint or an instance.
 * @param cause Why it changed.
 * @param tableVersion The version of the table in force.
 * @param atMillis The time of the change in milliseconds since the epoch.
 * @param details Further values by name, such as the old and the new value.
 */
public record AuditEvent(
        Kind kind,
        String subject,
        String cause,
        long tableVersion,
        long atMillis,
        Map<String, String> details) {

    /** Creates a new event. */
    public AuditEvent {
        details = Map.copyOf(new TreeMap<>(details));
    }

    /** Enumerates the kinds of change. */
    public enum Kind {

        /** A table was accepted and is in force. */
        TABLE_ACCEPTED,

        /** A cell of the table changed. */
        CELL_CHANGED,

        /** A table was refused. */
        TABLE_REFUSED,

        /** An endpoint or entry instance joined. */
        MEMBER_JOINED,

        /** The believed state of an endpoint or entry instance changed. */
        MEMBER_CHANGED,

        /** An endpoint or entry instance is gone. */
        MEMBER_GONE,

        /** An endpoint or this entry instance drains. */
        DRAIN,

        /** A request was put under suspicion or in quarantine. */
        QUARANTINE,

        /** This process stood still and dropped its old beliefs. */
        PAUSE,

        /** The steward of a pool changed. */
        STEWARD
    }
}
