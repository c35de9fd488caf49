package io.chicorytrestle.bench.capacity;

/** Enumerates the roles of a node with the cost of each at the target size. */
enum NodeRole {

    /** Serves callers. */
    CALLER_FRONT(
            "caller front",
            "turns in flight hold prompt and answer; a bounded buffer for each slow caller",
            "NODE_TURNS x turnState",
            "NODE_REQUESTS_PER_SECOND + NODE_TOKENS_PER_SECOND",
            "NODE_TOKENS_PER_SECOND x chunkTime") {
        @Override
        double stateBytes(MeasuredSlopes slopes) {
            return TargetQuantity.NODE_TURNS.value() * slopes.unitCost("turnState");
        }

        @Override
        double messagesPerSecond() {
            return TargetQuantity.NODE_REQUESTS_PER_SECOND.value()
                    + TargetQuantity.NODE_TOKENS_PER_SECOND.value();
        }

        @Override
        double nanosPerSecond(MeasuredSlopes slopes) {
            return TargetQuantity.NODE_TOKENS_PER_SECOND.value() * slopes.unitCost("chunkTime");
        }
    },

    /** Decides which endpoint runs a request. */
    DECISIONS(
            "decisions",
            "rendezvous order over the pool of a region; the caller carries the placement, so that CHATS cost nothing",
            "0 x CHATS",
            "2 x NODE_REQUESTS_PER_SECOND",
            "NODE_REQUESTS_PER_SECOND x orderTime(POOL_ENGINES)") {
        @Override
        double stateBytes(MeasuredSlopes slopes) {
            return 0 * TargetQuantity.CHATS.value();
        }

        @Override
        double messagesPerSecond() {
            return 2 * TargetQuantity.NODE_REQUESTS_PER_SECOND.value();
        }

        @Override
        double nanosPerSecond(MeasuredSlopes slopes) {
            return TargetQuantity.NODE_REQUESTS_PER_SECOND.value()
                    * slopes.cost("orderTime", TargetQuantity.POOL_ENGINES.value());
        }
    },

    /** Exchanges messages with peers. */
    PEER_CHANNEL(
            "peer channel",
            "a byte budget a second, most urgent first; few partners for each node",
            "NODES x peerState",
            "4 x NODE_REQUESTS_PER_SECOND",
            "4 x NODE_REQUESTS_PER_SECOND x messageTime") {
        @Override
        double stateBytes(MeasuredSlopes slopes) {
            return TargetQuantity.NODES.value() * slopes.unitCost("peerState");
        }

        @Override
        double messagesPerSecond() {
            return MESSAGES_PER_REQUEST * TargetQuantity.NODE_REQUESTS_PER_SECOND.value();
        }

        @Override
        double nanosPerSecond(MeasuredSlopes slopes) {
            return MESSAGES_PER_REQUEST
                    * TargetQuantity.NODE_REQUESTS_PER_SECOND.value()
                    * slopes.unitCost("messageTime");
        }
    },

    /** Leads a pool: tracks and admits its work. */
    STEWARD(
            "steward of a pool (lease grantor)",
            "one steward for each pool in a region, leases that expire by themselves",
            "POOL_ENGINES x endpointState",
            "3 x STEWARD_REQUESTS_PER_SECOND",
            "STEWARD_REQUESTS_PER_SECOND x decisionTime(POOL_ENGINES)") {
        @Override
        double stateBytes(MeasuredSlopes slopes) {
            return TargetQuantity.POOL_ENGINES.value() * slopes.unitCost("endpointState");
        }

        @Override
        double messagesPerSecond() {
            return MESSAGES_PER_ADMISSION * TargetQuantity.STEWARD_REQUESTS_PER_SECOND.value();
        }

        @Override
        double nanosPerSecond(MeasuredSlopes slopes) {
            return TargetQuantity.STEWARD_REQUESTS_PER_SECOND.value()
                    * slopes.cost("decisionTime", TargetQuantity.POOL_ENGINES.value());
        }
    },

    /** Reads and applies the table. */
    TABLE_READER(
            "table reader",
            "two readers in each zone watch; the rest hear version and digest from peers",
            "WORKSPACES x workspaceState",
            "2 x CHANGES_PER_DAY / 86,400",
            "CHANGES_PER_DAY / 86,400 x tableTime(WORKSPACES)") {
        @Override
        double stateBytes(MeasuredSlopes slopes) {
            return TargetQuantity.WORKSPACES.value() * slopes.unitCost("workspaceState");
        }

        @Override
        double messagesPerSecond() {
            return 2 * perSecond(TargetQuantity.CHANGES_PER_DAY);
        }

        @Override
        double nanosPerSecond(MeasuredSlopes slopes) {
            return perSecond(TargetQuantity.CHANGES_PER_DAY)
                    * slopes.cost("tableTime", TargetQuantity.WORKSPACES.value());
        }
    },

    /** Stores the outcomes of calls that must not be repeated. */
    TICKET_HOLDER(
            "ticket holder",
            "a ledger bounded by entries and bytes; the figures take every request as such a call, kept for 600 s",
            "600 x NODE_REQUESTS_PER_SECOND x ticketState",
            "2 x NODE_REQUESTS_PER_SECOND",
            "NODE_REQUESTS_PER_SECOND x ticketTime") {
        @Override
        double stateBytes(MeasuredSlopes slopes) {
            return RETENTION_SECONDS
                    * TargetQuantity.NODE_REQUESTS_PER_SECOND.value()
                    * slopes.unitCost("ticketState");
        }

        @Override
        double messagesPerSecond() {
            return 2 * TargetQuantity.NODE_REQUESTS_PER_SECOND.value();
        }

        @Override
        double nanosPerSecond(MeasuredSlopes slopes) {
            return TargetQuantity.NODE_REQUESTS_PER_SECOND.value() * slopes.unitCost("ticketTime");
        }
    },

    /** Sends work to endpoints and reads their responses. */
    ENDPOINT_CLIENT(
            "endpoint client",
            "what is known of each worker; its accelerators count in its capacity",
            "WORKERS x endpointState",
            "NODE_REQUESTS_PER_SECOND + NODE_TOKENS_PER_SECOND",
            "NODE_TOKENS_PER_SECOND x frameTime") {
        @Override
        double stateBytes(MeasuredSlopes slopes) {
            return TargetQuantity.WORKERS.value() * slopes.unitCost("endpointState");
        }

        @Override
        double messagesPerSecond() {
            return TargetQuantity.NODE_REQUESTS_PER_SECOND.value()
                    + TargetQuantity.NODE_TOKENS_PER_SECOND.value();
        }

        @Override
        double nanosPerSecond(MeasuredSlopes slopes) {
            return TargetQuantity.NODE_TOKENS_PER_SECOND.value() * slopes.unitCost("frameTime");
        }
    },

    /** Serves operators. */
    OPERATOR_PORT(
            "operator port",
            "a ring of 4,096 audit events; asked by people and collectors only",
            "4,096 x auditState",
            "(RESTARTS_PER_DAY + FAILURES_PER_DAY) / 86,400",
            "none on its own") {
        @Override
        double stateBytes(MeasuredSlopes slopes) {
            return AUDIT_EVENTS * slopes.unitCost("auditState");
        }

        @Override
        double messagesPerSecond() {
            return perSecond(TargetQuantity.RESTARTS_PER_DAY)
                    + perSecond(TargetQuantity.FAILURES_PER_DAY);
        }

        @Override
        double nanosPerSecond(MeasuredSlopes slopes) {
            return 0 * TargetQuantity.ZONES.value();
        }
    };

    /**
     * The messages between entry instances for one request: admission, its reply, and two returns.
     */
    private static final int MESSAGES_PER_REQUEST = 4;

    /** The messages that a pool's leader receives or sends for one admission. */
    private static final int MESSAGES_PER_ADMISSION = 3;

    /** The time that a ticket's outcome is kept, in seconds. */
    private static final int RETENTION_SECONDS = 600;

    /** The capacity of the audit trail in events. */
    private static final int AUDIT_EVENTS = 4_096;

    /** The seconds in a day. */
    private static final int SECONDS_PER_DAY = 86_400;

    /** The role's name on the page. */
    private final String title;

    /** The mechanism that sustains the role at the target size. */
    private final String mechanism;

    /** The formula of {@link #stateBytes}, for the page. */
    private final String stateFormula;

    /** The formula of {@link #messagesPerSecond}, for the page. */
    private final String messagesFormula;

    /** The formula of {@link #nanosPerSecond}, for the page. */
    private final String timeFormula;

    /**
     * Creates a new role.
     *
     * @param title The role's name on the page.
     * @param mechanism The mechanism that sustains the role at the target size.
     * @param stateFormula The formula of the state.
     * @param messagesFormula The formula of the messages.
     * @param timeFormula The formula of the CPU time.
     */
    NodeRole(
            String title,
            String mechanism,
            String stateFormula,
            String messagesFormula,
            String timeFormula) {
        this.title = title;
        this.mechanism = mechanism;
        this.stateFormula = stateFormula;
        this.messagesFormula = messagesFormula;
        this.timeFormula = timeFormula;
    }

    /**
     * Computes the size of the role's state.
     *
     * @param slopes The measured slopes.
     * @return The bytes of state on a node.
     */
    abstract double stateBytes(MeasuredSlopes slopes);

    /**
     * Computes the role's message rate.
     *
     * @return The messages that a node sends or receives per second.
     */
    abstract double messagesPerSecond();

    /**
     * Computes the role's CPU time.
     *
     * @param slopes The measured slopes.
     * @return The nanoseconds of CPU time per second.
     */
    abstract double nanosPerSecond(MeasuredSlopes slopes);

    /**
     * Returns the role's name on the page.
     *
     * @return The name.
     */
    String title() {
        return title;
    }

    /**
     * Returns the mechanism that sustains the role at the target size.
     *
     * @return The description for the page.
     */
    String mechanism() {
        return mechanism;
    }

    /**
     * Returns the formulas of the costs.
     *
     * @return The formulas of state, messages and CPU time.
     */
    String formulas() {
        return "state " + stateFormula + "; messages " + messagesFormula + "; time " + timeFormula;
    }

    /**
     * Converts a daily number to a rate per second.
     *
     * @param perDay The number per day.
     * @return The number per second.
     */
    private static double perSecond(TargetQuantity perDay) {
        return perDay.value() / SECONDS_PER_DAY;
    }
}
