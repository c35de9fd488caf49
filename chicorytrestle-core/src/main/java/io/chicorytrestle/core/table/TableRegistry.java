package io.chicorytrestle.core.table;

import io.chicorytrestle.core.audit.AuditEvent;
import io.chicorytrestle.core.audit.AuditTrail;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Topics;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Keeps the table in force: the highest version that was ever offered, never a lower one. Several
 * threads may call it.
 */
public final class TableRegistry {

    /** The most faults of one table that are recorded one by one. */
    private static final int MAXIMUM_RECORDED_FAULTS = 50;

    /** Receives the table in force. */
    private final Blackboard blackboard;

    /** Receives what was accepted and refused. */
    private final AuditTrail auditTrail;

    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** What is in force. */
    private TableParseResult.Accepted current = TableParseResult.Accepted.EMPTY;

    /** What was refused last, which is not recorded again. */
    private Object lastRefusal = "";

    /**
     * Creates a new register.
     *
     * @param blackboard Receives the table in force.
     * @param auditTrail Receives what was accepted and refused.
     */
    public TableRegistry(Blackboard blackboard, AuditTrail auditTrail) {
        this.blackboard = blackboard;
        this.auditTrail = auditTrail;
    }

    /**
     * Returns what is in force.
     *
     * @return The table in force with its digest.
     */
    public TableParseResult.Accepted current() {
        lock.lock();
        try {
            return current;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Offers what was read.
     *
     * @param reading What was read.
     * @param source Where it came from, for the audit trail.
     * @param nowMillis The present time in milliseconds.
     * @return What came of the offer.
     */
    public OfferResult offer(TableParseResult reading, String source, long nowMillis) {
        if (reading instanceof TableParseResult.Accepted accepted) {
            return offer(accepted, source, nowMillis);
        }
        List<TableFault> faults = ((TableParseResult.Refused) reading).faults();
        if (isNewRefusal(faults)) {
            recordRefusal(faults, source, nowMillis);
        }
        return OfferResult.REFUSED;
    }

    /**
     * Offers a table.
     *
     * @param offered The table with its digest.
     * @param source Where it came from.
     * @param nowMillis The present time in milliseconds.
     * @return What came of the offer.
     */
    private OfferResult offer(TableParseResult.Accepted offered, String source, long nowMillis) {
        TableParseResult.Accepted before;
        OfferResult resolution;
        lock.lock();
        try {
            before = current;
            resolution = OfferResult.of(before, offered);
            current = resolution == OfferResult.ACCEPTED ? offered : before;
        } finally {
            lock.unlock();
        }
        switch (resolution) {
            case ACCEPTED -> activate(before, offered, source, nowMillis);
            case CONFLICT ->
                    reportConflict(offered.table().version(), offered.digest(), source, nowMillis);
            default -> {
                /* nothing changed */
            }
        }
        return resolution;
    }

    /**
     * Publishes and records a table that came into force.
     *
     * @param before What was in force.
     * @param accepted What came into force.
     * @param source Where it came from.
     * @param nowMillis The present time in milliseconds.
     */
    private void activate(
            TableParseResult.Accepted before,
            TableParseResult.Accepted accepted,
            String source,
            long nowMillis) {
        blackboard.update(
                Topics.TABLE,
                present ->
                        present.version() < accepted.table().version()
                                ? accepted.table()
                                : present);
        recordAcceptance(before, accepted, source, nowMillis);
    }

    /**
     * Remembers a refusal.
     *
     * @param refused What was refused.
     * @return {@code true} if it was not the last thing that was refused.
     */
    private boolean isNewRefusal(Object refused) {
        lock.lock();
        try {
            boolean isNew = !lastRefusal.equals(refused);
            lastRefusal = refused;
            return isNew;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Reports a table of the version in force with another content.
     *
     * @param version The version.
     * @param digest The digest of the other content.
     * @param source Where it was seen.
     * @param nowMillis The present time in milliseconds.
     */
    public void reportConflict(long version, String digest, String source, long nowMillis) {
        if (isNewRefusal(digest)) {
            record(
                    AuditEvent.Kind.TABLE_REFUSED,
                    "table " + version,
                    "same version with other content, from " + source,
                    nowMillis,
                    Map.of("digestInForce", current().digest(), "digest", digest));
        }
    }

    /**
     * Records the faults of a table.
     *
     * @param faults The faults.
     * @param source Where the table came from.
     * @param nowMillis The present time in milliseconds.
     */
    private void recordRefusal(List<TableFault> faults, String source, long nowMillis) {
        for (TableFault fault :
                faults.subList(0, Math.min(faults.size(), MAXIMUM_RECORDED_FAULTS))) {
            record(
                    AuditEvent.Kind.TABLE_REFUSED,
                    fault.row(),
                    fault.reason() + ", from " + source,
                    nowMillis,
                    Map.of(
                            "column", fault.column(),
                            "value", fault.value(),
                            "faults", Integer.toString(faults.size())));
        }
    }

    /**
     * Records a table that came into force and its cells that differ.
     *
     * @param before What was in force.
     * @param accepted What came into force.
     * @param source Where it came from.
     * @param nowMillis The present time in milliseconds.
     */
    private void recordAcceptance(
            TableParseResult.Accepted before,
            TableParseResult.Accepted accepted,
            String source,
            long nowMillis) {
        record(
                AuditEvent.Kind.TABLE_ACCEPTED,
                "table " + accepted.table().version(),
                "from " + source,
                nowMillis,
                Map.of(
                        "versionBefore", Long.toString(before.table().version()),
                        "digest", accepted.digest()));
        for (TableDifference.CellChange cell :
                TableDifference.between(before.table(), accepted.table()).cells()) {
            record(
                    AuditEvent.Kind.CELL_CHANGED,
                    cell.section().key() + " " + cell.row(),
                    "table " + accepted.table().version(),
                    nowMillis,
                    Map.of(
                            "column", cell.column().key(),
                            "old", cell.before(),
                            "new", cell.after()));
        }
    }

    /**
     * Records an event.
     *
     * @param kind The kind of change.
     * @param subject What changed.
     * @param cause Why it changed.
     * @param nowMillis The present time in milliseconds.
     * @param details Further values by name.
     */
    private void record(
            AuditEvent.Kind kind,
            String subject,
            String cause,
            long nowMillis,
            Map<String, String> details) {
        long version = current().table().version();
        auditTrail.record(new AuditEvent(kind, subject, cause, version, nowMillis, details));
    }

    /** Enumerates what comes of an offered table. */
    public enum OfferResult {

        /** The table came into force. */
        ACCEPTED,

        /** The table is in force already. */
        ALREADY_CURRENT,

        /** A table of a higher version is in force. */
        OLDER,

        /** A table of the same version with other content is in force. */
        CONFLICT,

        /** The table has faults. */
        REFUSED;

        /**
         * Returns what comes of offering a table.
         *
         * @param present What is in force.
         * @param offered What is offered.
         * @return What comes of it.
         */
        static OfferResult of(
                TableParseResult.Accepted present, TableParseResult.Accepted offered) {
            int order = Long.compare(offered.table().version(), present.table().version());
            if (order != 0) {
                return order > 0 ? ACCEPTED : OLDER;
            }
            return offered.digest().equals(present.digest()) ? ALREADY_CURRENT : CONFLICT;
        }
    }
}
