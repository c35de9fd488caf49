package io.chicorytrestle.bench.history;

import io.chicorytrestle.core.call.CallMessages;
import io.chicorytrestle.core.chat.FrameValidator;
import io.chicorytrestle.core.endpoint.EngineClient;
import io.chicorytrestle.core.endpoint.FrameListener;
import io.chicorytrestle.core.endpoint.GenerateRequest;
import io.chicorytrestle.core.endpoint.ResponseFrame;
import io.chicorytrestle.core.endpoint.ServiceClient;
import io.chicorytrestle.core.endpoint.ServiceRequest;
import io.chicorytrestle.core.endpoint.ServiceResponse;
import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.peer.MessagePriority;
import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.peer.PeerNetwork;
import io.chicorytrestle.core.ticket.Ledger;
import io.chicorytrestle.core.ticket.LedgerRecord;
import io.chicorytrestle.core.ticket.Ticket;
import io.chicorytrestle.core.ticket.TicketCodec;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.Failures;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;

/** Holds the faulty components that {@link Mutation}s use in place of the correct ones. */
final class FaultyComponents {

    /** This class only groups nested types. */
    private FaultyComponents() {}

    /**
     * Decodes every ticket as if the present incarnation of the issuer had issued it.
     *
     * @param delegate The correct codec.
     * @param incarnation The present incarnation of the entry instance.
     */
    record IncarnationIgnoringCodec(TicketCodec delegate, long incarnation) implements TicketCodec {

        @Override
        public String encode(Ticket ticket) {
            return delegate.encode(ticket);
        }

        @Override
        public Ticket decode(String encoded, String workspace) throws RequestFailureException {
            Ticket ticket = delegate.decode(encoded, workspace);
            InstanceIdentity issuer = ticket.issuer();
            return new Ticket(
                    new InstanceIdentity(issuer.name(), issuer.zone(), incarnation),
                    ticket.workspace(),
                    ticket.number(),
                    ticket.expiresAtMillis());
        }
    }

    /** Delegates every method to the correct ledger. */
    private static class DelegatingLedger implements Ledger {

        /** The correct ledger. */
        final Ledger delegate;

        /**
         * Creates a faulty ledger.
         *
         * @param delegate The correct ledger.
         */
        DelegatingLedger(Ledger delegate) {
            this.delegate = delegate;
        }

        @Override
        public Claim claim(Ticket ticket, String callHash, long nowMillis)
                throws RequestFailureException {
            return delegate.claim(ticket, callHash, nowMillis);
        }

        @Override
        public boolean start(Ticket ticket, long nowMillis) {
            return delegate.start(ticket, nowMillis);
        }

        @Override
        public void finish(LedgerRecord record) {
            delegate.finish(record);
        }

        @Override
        public void release(Ticket ticket, RequestFailureException failure) {
            delegate.release(ticket, failure);
        }

        @Override
        public LookupResult lookUp(Ticket ticket, long nowMillis) {
            return delegate.lookUp(ticket, nowMillis);
        }

        @Override
        public void close() {
            delegate.close();
        }

        @Override
        public List<LedgerRecord> seal() {
            return delegate.seal();
        }

        @Override
        public void removeExpired(long nowMillis) {
            delegate.removeExpired(nowMillis);
        }

        @Override
        public boolean hasCapacity(long nowMillis) {
            return delegate.hasCapacity(nowMillis);
        }

        @Override
        public int size() {
            return delegate.size();
        }

        @Override
        public int claimCount() {
            return delegate.claimCount();
        }
    }

    /** Permits every start without recording it. */
    static final class UnrecordedStartLedger extends DelegatingLedger {

        /**
         * Creates a faulty ledger.
         *
         * @param delegate The correct ledger.
         */
        UnrecordedStartLedger(Ledger delegate) {
            super(delegate);
        }

        @Override
        public boolean start(Ticket ticket, long nowMillis) {
            return true;
        }
    }

    /** Discards the record of a call as soon as the call ends. */
    static final class ForgetfulLedger extends DelegatingLedger {

        /**
         * Creates a faulty ledger.
         *
         * @param delegate The correct ledger.
         */
        ForgetfulLedger(Ledger delegate) {
            super(delegate);
        }

        @Override
        public void finish(LedgerRecord record) {
            delegate.finish(record);
            delegate.removeExpired(Long.MAX_VALUE);
        }
    }

    /** Lets each concurrent repeat of a call run on its own instead of joining the first. */
    static final class NonJoiningLedger extends DelegatingLedger {

        /**
         * Creates a faulty ledger.
         *
         * @param delegate The correct ledger.
         */
        NonJoiningLedger(Ledger delegate) {
            super(delegate);
        }

        @Override
        public Claim claim(Ticket ticket, String callHash, long nowMillis)
                throws RequestFailureException {
            Claim claim = delegate.claim(ticket, callHash, nowMillis);
            return new Claim(
                    claim.mustExecute() || !claim.completion().isDone(), claim.completion());
        }
    }

    /** Permits starts even after the ledger was sealed for its handover. */
    static final class SealIgnoringLedger extends DelegatingLedger {

        /**
         * Creates a faulty ledger.
         *
         * @param delegate The correct ledger.
         */
        SealIgnoringLedger(Ledger delegate) {
            super(delegate);
        }

        @Override
        public boolean start(Ticket ticket, long nowMillis) {
            delegate.start(ticket, nowMillis);
            return true;
        }
    }

    /**
     * Reports every failure of a service call with the verdict not-run.
     *
     * @param delegate The correct client.
     */
    record AlwaysNotRunClient(ServiceClient delegate) implements ServiceClient {

        @Override
        public CompletableFuture<ServiceResponse> execute(
                Endpoint service, ServiceRequest request, LongPredicate mayWrite) {
            CompletableFuture<ServiceResponse> outcome = new CompletableFuture<>();
            delegate.execute(service, request, mayWrite)
                    .whenComplete(
                            (result, thrown) -> {
                                if (result != null) {
                                    outcome.complete(result);
                                } else {
                                    RequestFailureException failure = Failures.of(thrown);
                                    outcome.completeExceptionally(
                                            RequestFailureException.notRun(
                                                    failure.code(), failure.message()));
                                }
                            });
            return outcome;
        }
    }

    /**
     * Replies to forwarded calls with the verdict not-run if the ticket's issuer does not reply.
     *
     * @param delegate The correct network.
     */
    record AlwaysNotRunNetwork(PeerNetwork delegate) implements PeerNetwork {

        @Override
        public boolean send(String instance, PeerMessage message, MessagePriority urgency) {
            return delegate.send(instance, message, urgency);
        }

        @Override
        public CompletableFuture<PeerMessage> request(
                String instance, PeerMessage message, long timeoutMillis) {
            CompletableFuture<PeerMessage> outcome =
                    delegate.request(instance, message, timeoutMillis);
            if (!(message instanceof CallMessages.ForwardRequest)) {
                return outcome;
            }
            return outcome.exceptionally(
                    thrown ->
                            new CallMessages.ForwardReply(
                                    true,
                                    FailureCode.UNAVAILABLE.name(),
                                    Verdict.NOT_RUN.name(),
                                    "Cannot reach issuer",
                                    0,
                                    false,
                                    RequestFailureException.NO_RETRY_ADVICE));
        }
    }

    /** Accepts frames that the correct check rejects. */
    static final class LenientFrameCheck implements FrameValidator {

        /** The correct check. */
        private final FrameValidator delegate;

        /** The identifier of the request, used for the frames that fill a gap. */
        private final String requestId;

        /** The finding that is suppressed. */
        private final Result ignoredFinding;

        /** The finding reported instead, unless the suppressed one is a gap. */
        private final Result replacementFinding;

        /**
         * Creates a faulty check.
         *
         * @param delegate The correct check.
         * @param requestId The identifier of the request.
         * @param ignoredFinding The finding that is suppressed. For a gap, empty frames are
         *     inserted in place of the missing ones.
         * @param replacementFinding The finding reported instead, unless the suppressed one is a
         *     gap.
         */
        LenientFrameCheck(
                FrameValidator delegate,
                String requestId,
                Result ignoredFinding,
                Result replacementFinding) {
            this.delegate = delegate;
            this.requestId = requestId;
            this.ignoredFinding = ignoredFinding;
            this.replacementFinding = replacementFinding;
        }

        @Override
        public Result validate(ResponseFrame frame) {
            Result finding = delegate.validate(frame);
            if (finding != ignoredFinding) {
                return finding;
            }
            if (finding == Result.GAP) {
                while (delegate.nextSequence() < frame.sequence()) {
                    delegate.validate(
                            new ResponseFrame(requestId, delegate.nextSequence(), "", null));
                }
                return delegate.validate(frame);
            }
            return replacementFinding;
        }

        @Override
        public long nextSequence() {
            return delegate.nextSequence();
        }
    }

    /**
     * Reports every closed stream as a complete response by adding a final frame.
     *
     * @param delegate The correct client.
     */
    record PrematureEndClient(EngineClient delegate) implements EngineClient {

        @Override
        public void generate(Endpoint engine, GenerateRequest request, FrameListener listener) {
            delegate.generate(engine, request, addFinalFrame(request.requestId(), 0, listener));
        }

        @Override
        public void resume(
                Endpoint engine, String requestId, long fromSequence, FrameListener listener) {
            delegate.resume(
                    engine,
                    requestId,
                    fromSequence,
                    addFinalFrame(requestId, fromSequence, listener));
        }

        @Override
        public void cancel(Endpoint engine, String requestId) {
            delegate.cancel(engine, requestId);
        }

        /**
         * Returns a listener that adds a final frame before it reports that the stream was closed.
         *
         * @param requestId The identifier of the request.
         * @param fromSequence The sequence number of the first frame of the stream.
         * @param listener The listener that receives all frames.
         * @return The listener to pass to the engine client.
         */
        private static FrameListener addFinalFrame(
                String requestId, long fromSequence, FrameListener listener) {
            long[] next = {fromSequence};
            return new FrameListener() {
                @Override
                public void onFrame(ResponseFrame frame) {
                    next[0] = Math.max(next[0], frame.sequence() + 1);
                    listener.onFrame(frame);
                }

                @Override
                public void onClosed() {
                    listener.onFrame(new ResponseFrame(requestId, next[0], "", new Usage(1, 0, 1)));
                    listener.onClosed();
                }

                @Override
                public void onFailure(RequestFailureException failure) {
                    listener.onFailure(failure);
                }
            };
        }
    }
}
