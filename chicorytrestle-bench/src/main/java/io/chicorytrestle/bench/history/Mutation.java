package io.chicorytrestle.bench.history;

import io.chicorytrestle.core.chat.FrameValidator;
import io.chicorytrestle.core.endpoint.EngineClient;
import io.chicorytrestle.core.endpoint.ServiceClient;
import io.chicorytrestle.core.peer.PeerNetwork;
import io.chicorytrestle.core.retry.RetryPolicy;
import io.chicorytrestle.core.ticket.Ledger;
import io.chicorytrestle.core.ticket.TicketCodec;

/**
 * Replaces a component of every entry instance by a faulty one, to verify that the checks of
 * histories detect the fault. The names appear in reports.
 */
public enum Mutation {

    /** All components are correct. */
    NONE,

    /** Calls are retried although an earlier attempt may have run. */
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

    /** A restarted instance reuses its old incarnation, but with an empty ledger. */
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

    /** The start of a call is not recorded before the call is sent, only its end. */
    START_RECORDED_LATE {
        @Override
        Ledger ledger(Ledger ledger) {
            return new FaultyComponents.UnrecordedStartLedger(ledger);
        }
    },

    /** The ledger discards outcomes immediately. */
    OUTCOME_FORGOTTEN {
        @Override
        Ledger ledger(Ledger ledger) {
            return new FaultyComponents.ForgetfulLedger(ledger);
        }
    },

    /** Concurrent repeats of a call are not joined but run again. */
    REPEATS_NOT_JOINED {
        @Override
        Ledger ledger(Ledger ledger) {
            return new FaultyComponents.NonJoiningLedger(ledger);
        }
    },

    /** Calls still start after the ledger was sealed and handed over. */
    START_AFTER_SEAL {
        @Override
        Ledger ledger(Ledger ledger) {
            return new FaultyComponents.SealIgnoringLedger(ledger);
        }
    },

    /** A call whose connection broke is reported as not run. */
    BROKEN_COUNTS_AS_NOT_RUN {
        @Override
        ServiceClient serviceClient(ServiceClient services) {
            return new FaultyComponents.AlwaysNotRunClient(services);
        }
    },

    /** A call whose ticket's issuer cannot be reached is reported as not run. */
    UNKNOWN_COUNTS_AS_NOT_RUN {
        @Override
        PeerNetwork peerNetwork(PeerNetwork network) {
            return new FaultyComponents.AlwaysNotRunNetwork(network);
        }
    },

    /** Frames of other requests are accepted. */
    FOREIGN_FRAMES_TAKEN {
        @Override
        FrameValidator frameCheck(FrameValidator check, String requestId) {
            return new FaultyComponents.LenientFrameCheck(
                    check, requestId, FrameValidator.Result.FOREIGN, FrameValidator.Result.TEXT);
        }
    },

    /** Duplicate frames are passed on twice. */
    DUPLICATES_TAKEN {
        @Override
        FrameValidator frameCheck(FrameValidator check, String requestId) {
            return new FaultyComponents.LenientFrameCheck(
                    check, requestId, FrameValidator.Result.DUPLICATE, FrameValidator.Result.TEXT);
        }
    },

    /** Missing frames are not detected. */
    GAPS_TAKEN {
        @Override
        FrameValidator frameCheck(FrameValidator check, String requestId) {
            return new FaultyComponents.LenientFrameCheck(
                    check, requestId, FrameValidator.Result.GAP, FrameValidator.Result.TEXT);
        }
    },

    /** A stream that was closed early is reported as a complete response. */
    CLOSED_COUNTS_AS_WHOLE {
        @Override
        EngineClient engineClient(EngineClient engines) {
            return new FaultyComponents.PrematureEndClient(engines);
        }
    },

    /** A table of any version is put into force. */
    TABLE_VERSION_UNCHECKED,

    /**
     * Entry instances do not receive the leaving state of endpoints, and go on sending them work.
     */
    LEAVING_IGNORED,

    /** An instance that is shut down does not wait for its requests. */
    SHUTDOWN_AT_ONCE;

    /**
     * Returns the retry policy that an entry instance uses.
     *
     * @param policy The correct policy.
     * @return The given policy, or a faulty one.
     */
    RetryPolicy retryPolicy(RetryPolicy policy) {
        return policy;
    }

    /**
     * Returns the incarnation under which an entry instance starts.
     *
     * @param incarnation The correct incarnation.
     * @return The given incarnation, or a faulty one.
     */
    long incarnation(long incarnation) {
        return incarnation;
    }

    /**
     * Returns the ticket codec that an entry instance uses.
     *
     * @param codec The correct codec.
     * @param incarnation The incarnation of the entry instance.
     * @return The given codec, or a faulty one.
     */
    TicketCodec ticketCodec(TicketCodec codec, long incarnation) {
        return codec;
    }

    /**
     * Returns the ledger that an entry instance uses.
     *
     * @param ledger The correct ledger.
     * @return The given ledger, or a faulty one.
     */
    Ledger ledger(Ledger ledger) {
        return ledger;
    }

    /**
     * Returns the service client that an entry instance uses.
     *
     * @param services The correct client.
     * @return The given client, or a faulty one.
     */
    ServiceClient serviceClient(ServiceClient services) {
        return services;
    }

    /**
     * Returns the peer network that calls of an entry instance use.
     *
     * @param network The correct network.
     * @return The given network, or a faulty one.
     */
    PeerNetwork peerNetwork(PeerNetwork network) {
        return network;
    }

    /**
     * Returns the frame check that an entry instance uses for one request.
     *
     * @param check The correct check.
     * @param requestId The identifier of the request.
     * @return The given check, or a faulty one.
     */
    FrameValidator frameCheck(FrameValidator check, String requestId) {
        return check;
    }

    /**
     * Returns the engine client that an entry instance uses.
     *
     * @param engines The correct client.
     * @return The given client, or a faulty one.
     */
    EngineClient engineClient(EngineClient engines) {
        return engines;
    }
}
