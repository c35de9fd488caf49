package io.chicorytrestle.bench.capacity;

/** Enumerates the roles of a node with what each costs at the target size. */
enum NodeRole {

    /** Faces callers. */
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
            return TargetQuantity.NODE_REQUESTS_PER_SECOND.value() + TargetQuantity.NODE_TOKENS_PER_SECOND.value();
        }

        @Override
        double nanosPerSecond(MeasuredSlopes slopes) {
            return TargetQuantity.NODE_TOKENS_PER_SECOND.value() * slopes.unitCost("chunkTime");
        }
    },

    /** Decides where work goes. */
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

    /** Counts and admits the work of a pool. */
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

    /** Reads the table. */
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

    /** Keeps the outcomes of calls that may not be repeated. */
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

    /** Reaches endpoints. */
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
            return TargetQuantity.NODE_REQUESTS_PER_SECOND.value() + TargetQuantity.NODE_TOKENS_PER_SECOND.value();
        }

        @Override
        double nanosPerSecond(MeasuredSlopes slopes) {
            return TargetQuantity.NODE_TOKENS_PER_SECOND.value() * slopes.unitCost("frameTime");
        }
    },

    /** Answers operators. */
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
            return perSecond(TargetQuantity.RESTARTS_PER_DAY) + perSecond(TargetQuantity.FAILURES_PER_DAY);
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

    /** The messages that a steward receives or sends for one admission. */
    private static final int MESSAGES_PER_ADMISSION = 3;

    /** The seconds that a ticket's outcome is kept. */
    private static final int RETENTION_SECONDS = 600;

    /** The audit events that are kept. */
    private static final int AUDIT_EVENTS = 4_096;

    /** The seconds of a day. */
    private static final int SECONDS_PER_DAY = 86_400;

    /** The role's name. */
    private final String title;

    /** What carries the role at the target size. */
    private final String mechanism;

    /** How the state is worked out. */
    private final String stateFormula;

    /** How the messages are worked out. */
    private final String messagesFormula;

    /** How the processor time is worked out. */
    private final String timeFormula;

    /**
     * Creates a new role.
     *
     * @param title The role's name.
     * @param mechanism What carries the role at the target size.
     * @param stateFormula How the state is worked out.
     * @param messagesFormula How the messages are worked out.
     * @param timeFormula How the processor time is worked out.
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
     * Works the state out.
     *
     * @param slopes The measured slopes.
     * @return The bytes of state on a node.
     */
    abstract double stateBytes(MeasuredSlopes slopes);

    /**
     * Works the messages out.
     *
     * @return The messages of a node in a second.
     */
    abstract double messagesPerSecond();

    /**
     * Works the processor time out.
     *
     * @param slopes The measured slopes.
     * @return The nanoseconds of a core in a second.
     */
    abstract double nanosPerSecond(MeasuredSlopes slopes);

    /**
     * Returns the role's name.
     *
     * @return The role's name.
     */
    String title() {
        return title;
    }

    /**
     * Returns what carries the role at the target size.
     *
     * @return What carries the role at the target size.
     */
    String mechanism() {
        return mechanism;
    }

    /**
     * Returns how the costs are worked out.
     *
     * @return The formulas of state, messages and processor time.
     */
    String formulas() {
        return "state " + stateFormula + "; messages " + messagesFormula + "; time " + timeFormula;
    }

    /**
     * Spreads a number of a day over its seconds.
     *
     * @param perDay The number of a day.
     * @return The number of a second.
     */
    private static double perSecond(TargetQuantity perDay) {
        return perDay.value() / SECONDS_PER_DAY;
    }
}
