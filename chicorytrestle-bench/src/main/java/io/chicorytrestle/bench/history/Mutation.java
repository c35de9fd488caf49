package io.chicorytrestle.bench.history;

import io.chicorytrestle.core.chat.FrameValidator;
import io.chicorytrestle.core.endpoint.EngineClient;
import io.chicorytrestle.core.endpoint.ServiceClient;
import io.chicorytrestle.core.peer.PeerNetwork;
import io.chicorytrestle.core.retry.RetryPolicy;
import io.chicorytrestle.core.ticket.Ledger;
import io.chicorytrestle.core.ticket.TicketCodec;

/** Replaces parts of an entry instance by faulty ones, to show that the checks find them. */
public enum Mutation {

    /** Nothing is replaced. */
    NONE,

    /** Calls are sent again after they may have run. */
    RETRY_AFTER_DOUBT {
        @Override
        RetryPolicy retryPolicy(RetryPolicy policy) {
            return (failure, progress, nowMillis) ->
                    policy.permits(
                            failure,
                            new RetryPolicy.Progress(
                                    progress.attempts(), true, progress.deadlineMillis()),
                            nowMillis);
        }
    },

    /** A restarted instance takes its old incarnation with an empty ledger. */
    LEDGER_FORGOTTEN_AT_RESTART {
        @Override
        long incarnation(long incarnation) {
            return 1;
        }
    },

    /** The incarnation in a ticket is not compared. */
    INCARNATION_UNCHECKED {
        @Override
        TicketCodec ticketCodec(TicketCodec codec, long incarnation) {
            return new FaultyComponents.IncarnationIgnoringCodec(codec, incarnation);
        }
    },

    /** The start of a call is recorded only when it has ended. */
    START_RECORDED_LATE {
        @Override
        Ledger ledger(Ledger ledger) {
            return new FaultyComponents.UnrecordedStartLedger(ledger);
        }
    },

    /** The ledger forgets outcomes at once. */
    OUTCOME_FORGOTTEN {
        @Override
        Ledger ledger(Ledger ledger) {
            return new FaultyComponents.ForgetfulLedger(ledger);
        }
    },

    /** Concurrent repeats are not joined. */
    REPEATS_NOT_JOINED {
        @Override
        Ledger ledger(Ledger ledger) {
            return new FaultyComponents.NonJoiningLedger(ledger);
        }
    },

    /** Calls still start after the ledger was handed on. */
    START_AFTER_SEAL {
        @Override
        Ledger ledger(Ledger ledger) {
            return new FaultyComponents.SealIgnoringLedger(ledger);
        }
    },

    /** A broken connection counts as not run. */
    BROKEN_COUNTS_AS_NOT_RUN {
        @Override
        ServiceClient serviceClient(ServiceClient services) {
            return new FaultyComponents.AlwaysNotRunClient(services);
        }
    },

    /** A ticket whose issuer cannot be reached counts as not run. */
    UNKNOWN_COUNTS_AS_NOT_RUN {
        @Override
        PeerNetwork peerNetwork(PeerNetwork network) {
            return new FaultyComponents.AlwaysNotRunNetwork(network);
        }
    },

    /** Frames of other requests are taken. */
    FOREIGN_FRAMES_TAKEN {
        @Override
        FrameValidator frameCheck(FrameValidator check, String requestId) {
            return new FaultyComponents.LenientFrameCheck(
                    check, requestId, FrameValidator.Result.FOREIGN, FrameValidator.Result.TEXT);
        }
    },

    /** Frames that arrive twice are handed on twice. */
    DUPLICATES_TAKEN {
        @Override
        FrameValidator frameCheck(FrameValidator check, String requestId) {
            return new FaultyComponents.LenientFrameCheck(
                    check, requestId, FrameValidator.Result.DUPLICATE, FrameValidator.Result.TEXT);
        }
    },

    /** Frames that are missing go unnoticed. */
    GAPS_TAKEN {
        @Override
        FrameValidator frameCheck(FrameValidator check, String requestId) {
            return new FaultyComponents.LenientFrameCheck(
                    check, requestId, FrameValidator.Result.GAP, FrameValidator.Result.TEXT);
        }
    },

    /** A stream that was closed counts as a whole answer. */
    CLOSED_COUNTS_AS_WHOLE {
        @Override
        EngineClient engineClient(EngineClient engines) {
            return new FaultyComponents.PrematureEndClient(engines);
        }
    },

    /** Any version of the table is taken. */
    TABLE_VERSION_UNCHECKED,

    /** Endpoints that leave go on receiving work. */
    LEAVING_IGNORED,

    /** An instance that is shut down does not wait. */
    SHUTDOWN_AT_ONCE;

    /**
     * Returns the retry policy to use.
     *
     * @param policy The proper one.
     * @return The retry policy to use.
     */
    RetryPolicy retryPolicy(RetryPolicy policy) {
        return policy;
    }

    /**
     * Returns the incarnation to take at a start.
     *
     * @param incarnation The proper one.
     * @return The incarnation to take at a start.
     */
    long incarnation(long incarnation) {
        return incarnation;
    }

    /**
     * Returns the codec of tickets to use.
     *
     * @param codec The proper one.
     * @param incarnation The instance's own incarnation.
     * @return The codec of tickets to use.
     */
    TicketCodec ticketCodec(TicketCodec codec, long incarnation) {
        return codec;
    }

    /**
     * Returns the ledger to use.
     *
     * @param ledger The proper one.
     * @return The ledger to use.
     */
    Ledger ledger(Ledger ledger) {
        return ledger;
    }

    /**
     * Returns the client of plain services to use.
     *
     * @param services The proper one.
     * @return The client of plain services to use.
     */
    ServiceClient serviceClient(ServiceClient services) {
        return services;
    }

    /**
     * Returns the network to use.
     *
     * @param network The proper one.
     * @return The network to use.
     */
    PeerNetwork peerNetwork(PeerNetwork network) {
        return network;
    }

    /**
     * Returns the check of frames to use.
     *
     * @param check The proper one.
     * @param requestId The identifier of the request.
     * @return The check of frames to use.
     */
    FrameValidator frameCheck(FrameValidator check, String requestId) {
        return check;
    }

    /**
     * Returns the client of engines to use.
     *
     * @param engines The proper one.
     * @return The client of engines to use.
     */
    EngineClient engineClient(EngineClient engines) {
        return engines;
    }
}
