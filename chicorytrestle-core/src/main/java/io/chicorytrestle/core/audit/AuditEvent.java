package io.chicorytrestle.core.audit;

import java.util.Map;
import java.util.TreeMap;

/**
 * Describes one change for the audit trail.
 *
 * @param kind The kind of change.
 * @param subject The thing that changed, such as a row of the table, an endpoint or an entry
 *     instance.
 * @param cause The reason of the change.
 * @param tableVersion The version of the current table.
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

    /** Creates a new event with a copy of the details. */
    public AuditEvent {
        details = Map.copyOf(new TreeMap<>(details));
    }

    /** Enumerates the kinds of change. */
    public enum Kind {

        /** A table was accepted and became current. */
        TABLE_ACCEPTED,

        /** A cell of the table changed. */
        CELL_CHANGED,

        /** A table was refused. */
        TABLE_REFUSED,

        /** An endpoint or entry instance joined. */
        MEMBER_JOINED,

        /** The assumed state of an endpoint or entry instance changed. */
        MEMBER_CHANGED,

        /** An endpoint or entry instance is gone. */
        MEMBER_GONE,

        /** An endpoint or entry instance is draining. */
        DRAIN,

        /** A request became suspect or was quarantined. */
        QUARANTINE,

        /** This process was paused, and dropped what had expired meanwhile. */
        PAUSE,

        /** The leader of a pool changed. */
        STEWARD
    }
}
