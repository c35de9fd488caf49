package io.chicorytrestle.core.table;

import io.chicorytrestle.core.audit.AuditEvent;
import io.chicorytrestle.core.audit.AuditTrail;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Topics;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Holds the current table, which is the one with the highest version that was ever offered and
 * valid. The version never decreases. This class is thread-safe.
 */
public final class TableRegistry {

    /** The maximum number of faults of one table that are recorded in the audit trail. */
    private static final int MAXIMUM_RECORDED_FAULTS = 50;

    /** Receives the current table. */
    private final Blackboard blackboard;

    /** Records accepted and refused tables. */
    private final AuditTrail auditTrail;

    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The current table with its digest. */
    private TableParseResult.Accepted current = TableParseResult.Accepted.EMPTY;

    /**
     * The faults or the digest that was refused last. It is not recorded again when the same table
     * is offered repeatedly.
     */
    private Object lastRefusal = "";

    /**
     * Creates a new registry with the empty table.
     *
     * @param blackboard Receives the current table.
     * @param auditTrail Records accepted and refused tables.
     */
    public TableRegistry(Blackboard blackboard, AuditTrail auditTrail) {
        this.blackboard = blackboard;
        this.auditTrail = auditTrail;
    }

    /**
     * Returns the current table.
     *
     * @return The current table with its digest.
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
     * Offers a parsed table, which becomes current if its version is higher than that of the
     * current one.
     *
     * @param result The outcome of parsing the table.
     * @param source The name of the table's source, for the audit trail.
     * @param nowMillis The present time in milliseconds.
     * @return The outcome of the offer.
     */
    public OfferResult offer(TableParseResult result, String source, long nowMillis) {
        if (result instanceof TableParseResult.Accepted accepted) {
            return offer(accepted, source, nowMillis);
        }
        List<TableFault> faults = ((TableParseResult.Refused) result).faults();
        if (isNewRefusal(faults)) {
            recordRefusal(faults, source, nowMillis);
        }
        return OfferResult.REFUSED;
    }

    /**
     * Offers a valid table.
     *
     * @param offered The table with its digest.
     * @param source The name of the table's source.
     * @param nowMillis The present time in milliseconds.
     * @return The outcome of the offer.
     */
    private OfferResult offer(TableParseResult.Accepted offered, String source, long nowMillis) {
        TableParseResult.Accepted before;
        OfferResult outcome;
        lock.lock();
        try {
            before = current;
            outcome = OfferResult.of(before, offered);
            current = outcome == OfferResult.ACCEPTED ? offered : before;
        } finally {
            lock.unlock();
        }
        switch (outcome) {
            case ACCEPTED -> activate(before, offered, source, nowMillis);
            case CONFLICT ->
                    reportConflict(offered.table().version(), offered.digest(), source, nowMillis);
            default -> {
                /* the current table stays */
            }
        }
        return outcome;
    }

    /**
     * Publishes and records a table that became current. A table that another thread published
     * meanwhile is only replaced if its version is lower.
     *
     * @param before The previous table.
     * @param accepted The new current table.
     * @param source The name of the table's source.
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
     * Remembers a refusal, and returns {@code true} if it differs from the last one.
     *
     * @param refused The faults or the digest that was refused.
     * @return {@code true} if the refusal is to be recorded.
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
     * Records a table that has the same version as the current one but different content.
     *
     * @param version The version.
     * @param digest The digest of the conflicting content.
     * @param source The name of the conflicting table's source.
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
     * Records the faults of a refused table, up to {@link #MAXIMUM_RECORDED_FAULTS}.
     *
     * @param faults The faults.
     * @param source The name of the table's source.
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
     * Records a table that became current, and each cell that differs from the previous one.
     *
     * @param before The previous table.
     * @param accepted The new current table.
     * @param source The name of the table's source.
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
     * Records an event in the audit trail.
     *
     * @param kind The kind of event.
     * @param subject The thing that changed.
     * @param cause The reason of the change.
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

    /** Enumerates the outcomes of offering a table. */
    public enum OfferResult {

        /** The table became current. */
        ACCEPTED,

        /** The table is current already. */
        ALREADY_CURRENT,

        /** The current table has a higher version. */
        OLDER,

        /** The current table has the same version but different content. */
        CONFLICT,

        /** The table is not valid. */
        REFUSED;

        /**
         * Compares an offered table with the current one by version and digest.
         *
         * @param present The current table.
         * @param offered The offered table.
         * @return The outcome of the offer.
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
