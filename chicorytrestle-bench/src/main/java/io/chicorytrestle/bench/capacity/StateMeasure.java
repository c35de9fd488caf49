package io.chicorytrestle.bench.capacity;

import com.google.common.collect.ImmutableList;
import io.chicorytrestle.core.audit.AuditEvent;
import io.chicorytrestle.core.audit.AuditTrail;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.identity.EndpointKind;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.MemberDescription;
import io.chicorytrestle.core.membership.MemberDirectory;
import io.chicorytrestle.core.membership.MemberFact;
import io.chicorytrestle.core.table.Table;
import io.chicorytrestle.core.table.WorkspaceRow;
import io.chicorytrestle.core.ticket.LedgerLimits;
import io.chicorytrestle.core.ticket.LedgerRecord;
import io.chicorytrestle.core.ticket.ShardedLedger;
import io.chicorytrestle.core.ticket.Ticket;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.lang.ref.Reference;
import java.util.HashMap;
import java.util.Map;

/** Measures the heap that the state of a number of items occupies on a node. */
enum StateMeasure implements Measure {

    /** The table's row of a workspace. */
    WORKSPACE_STATE("workspaceState", "workspace", ImmutableList.of(1_000, 2_000, 4_000)) {
        @Override
        Object createState(int size) {
            Map<String, WorkspaceRow> rows = new HashMap<>();
            for (int index = 0; index < size; index++) {
                String name = "workspace-" + index;
                rows.put(name, new WorkspaceRow(name, index, index, 1, 1));
            }
            return new Table(1, rows, Map.of());
        }
    },

    /** An endpoint in the member directory. */
    ENDPOINT_STATE("endpointState", "endpoint", ImmutableList.of(2_400, 4_800, 9_600)) {
        @Override
        Object createState(int size) {
            MemberDirectory directory = new MemberDirectory();
            for (int index = 0; index < size; index++) {
                MemberDescription description =
                        MemberDescription.of(
                                new Endpoint(
                                        new EndpointIdentity("endpoint-" + index, 1),
                                        EndpointKind.ENGINE,
                                        "pool",
                                        "zone",
                                        "127.0.0.1",
                                        1,
                                        1));
                directory.merge(MemberFact.of(description, false), 1);
            }
            return directory;
        }
    },

    /** A peer in the member directory. */
    PEER_STATE("peerState", "peer", ImmutableList.of(1_000, 2_000, 4_000)) {
        @Override
        Object createState(int size) {
            MemberDirectory directory = new MemberDirectory();
            for (int index = 0; index < size; index++) {
                InstanceIdentity identity = new InstanceIdentity("instance-" + index, "zone", 1);
                MemberDescription description = MemberDescription.of(identity, "127.0.0.1", 1);
                directory.merge(MemberFact.of(description, false), 1);
            }
            return directory;
        }
    },

    /** A ticket whose call was executed, with its stored outcome. */
    TICKET_STATE("ticketState", "ticket", ImmutableList.of(4_000, 8_000, 16_000)) {
        @Override
        Object createState(int size) throws RequestFailureException {
            LedgerLimits limits = LedgerLimits.DEFAULT;
            ShardedLedger ledger = new ShardedLedger(limits);
            InstanceIdentity issuer = new InstanceIdentity("instance", "zone", 1);
            for (int index = 1; index <= size; index++) {
                Ticket ticket = new Ticket(issuer, "workspace", index, Long.MAX_VALUE);
                ledger.claim(ticket, "hash-" + index, 1);
                ledger.start(ticket, 1);
                String body = "x".repeat(OUTCOME_BODY_CHARACTERS) + index;
                ledger.finish(LedgerRecord.executed(ticket, "hash-" + index, STATUS_OK, body));
            }
            return ledger;
        }
    },

    /** A chat turn in flight with its prompt and half of its response. */
    TURN_STATE("turnState", "turn", ImmutableList.of(500, 1_000, 2_000)) {
        @Override
        Object createState(int size) {
            return InFlightTurns.create(size);
        }
    },

    /** An event in the audit trail. */
    AUDIT_STATE("auditState", "event", ImmutableList.of(4_096, 8_192, 16_384)) {
        @Override
        Object createState(int size) {
            AuditTrail.ForMemory trail = new AuditTrail.ForMemory(size);
            for (int index = 0; index < size; index++) {
                trail.record(
                        new AuditEvent(
                                AuditEvent.Kind.CELL_CHANGED,
                                "workspaces workspace-" + index,
                                "table",
                                index,
                                index,
                                Map.of("column", "share", "old", "1", "new", "" + index)));
            }
            return trail;
        }
    };

    /** The length of an outcome's body in characters. */
    private static final int OUTCOME_BODY_CHARACTERS = 256;

    /** The HTTP status of an executed call. */
    private static final int STATUS_OK = 200;

    /** The number of garbage collections before the heap is read. */
    private static final int COLLECTIONS = 3;

    /** What is measured and at which sizes. */
    private final Definition definition;

    /**
     * Creates a new measure.
     *
     * @param key The name of the measure.
     * @param per The noun, in the singular, for what the sizes count.
     * @param sizes The sizes to measure at, in ascending order.
     */
    StateMeasure(String key, String per, ImmutableList<Integer> sizes) {
        definition = new Definition(key, "bytes", per, sizes);
    }

    @Override
    public Definition definition() {
        return definition;
    }

    @Override
    public double sample(int size, long seed) throws Exception {
        long before = usedBytes();
        Object state = createState(size);
        try {
            return usedBytes() - before;
        } finally {
            Reference.reachabilityFence(state);
        }
    }

    /**
     * Creates the state of a number of items.
     *
     * @param size The number of items.
     * @return The state.
     * @throws Exception If the state could not be created.
     */
    abstract Object createState(int size) throws Exception;

    /**
     * Returns the used heap after garbage collections.
     *
     * @return The used heap in bytes.
     */
    @SuppressWarnings("DoNotCall")
    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int collection = 0; collection < COLLECTIONS; collection++) {
            runtime.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
