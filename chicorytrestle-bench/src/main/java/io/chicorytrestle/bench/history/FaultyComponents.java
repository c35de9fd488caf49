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

/** Groups the faulty parts of the mutations. */
final class FaultyComponents {

    /** Prevents instances. */
    private FaultyComponents() {}

    /**
     * Takes tickets of every incarnation as its own.
     *
     * @param delegate The proper codec.
     * @param incarnation The instance's own incarnation.
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

    /** Hands everything to the proper ledger. */
    private static class DelegatingLedger implements Ledger {

        /** The proper ledger. */
        final Ledger delegate;

        /**
         * Creates a new ledger.
         *
         * @param ledger The proper ledger.
         */
        DelegatingLedger(Ledger ledger) {
            this.delegate = ledger;
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

    /** Permits starts without recording them. */
    static final class UnrecordedStartLedger extends DelegatingLedger {

        /**
         * Creates a new ledger.
         *
         * @param ledger The proper ledger.
         */
        UnrecordedStartLedger(Ledger ledger) {
            super(ledger);
        }

        @Override
        public boolean start(Ticket ticket, long nowMillis) {
            return true;
        }
    }

    /** Forgets a call once it has ended. */
    static final class ForgetfulLedger extends DelegatingLedger {

        /**
         * Creates a new ledger.
         *
         * @param ledger The proper ledger.
         */
        ForgetfulLedger(Ledger ledger) {
            super(ledger);
        }

        @Override
        public void finish(LedgerRecord record) {
            delegate.finish(record);
            delegate.removeExpired(Long.MAX_VALUE);
        }
    }

    /** Lets each repeat make an attempt of its own. */
    static final class NonJoiningLedger extends DelegatingLedger {

        /**
         * Creates a new ledger.
         *
         * @param ledger The proper ledger.
         */
        NonJoiningLedger(Ledger ledger) {
            super(ledger);
        }

        @Override
        public Claim claim(Ticket ticket, String callHash, long nowMillis)
                throws RequestFailureException {
            Claim claim = delegate.claim(ticket, callHash, nowMillis);
            return new Claim(
                    claim.mustExecute() || !claim.completion().isDone(), claim.completion());
        }
    }

    /** Goes on after it was sealed. */
    static final class SealIgnoringLedger extends DelegatingLedger {

        /**
         * Creates a new ledger.
         *
         * @param ledger The proper ledger.
         */
        SealIgnoringLedger(Ledger ledger) {
            super(ledger);
        }

        @Override
        public boolean start(Ticket ticket, long nowMillis) {
            delegate.start(ticket, nowMillis);
            return true;
        }
    }

    /**
     * Reports broken connections as not run.
     *
     * @param delegate The proper client.
     */
    record AlwaysNotRunClient(ServiceClient delegate) implements ServiceClient {

        @Override
        public CompletableFuture<ServiceResponse> execute(
                Endpoint service, ServiceRequest request, LongPredicate mayWrite) {
            CompletableFuture<ServiceResponse> answer = new CompletableFuture<>();
            delegate.execute(service, request, mayWrite)
                    .whenComplete(
                            (result, thrown) -> {
                                if (result != null) {
                                    answer.complete(result);
                                } else {
                                    RequestFailureException failure = Failures.of(thrown);
                                    answer.completeExceptionally(
                                            RequestFailureException.notRun(
                                                    failure.code(), failure.message()));
                                }
                            });
            return answer;
        }
    }

    /**
     * Answers forwarded calls as not run if the issuer does not answer.
     *
     * @param delegate The proper network.
     */
    record AlwaysNotRunNetwork(PeerNetwork delegate) implements PeerNetwork {

        @Override
        public boolean send(String instance, PeerMessage message, MessagePriority urgency) {
            return delegate.send(instance, message, urgency);
        }

        @Override
        public CompletableFuture<PeerMessage> request(
                String instance, PeerMessage message, long timeoutMillis) {
            CompletableFuture<PeerMessage> answer =
                    delegate.request(instance, message, timeoutMillis);
            if (!(message instanceof CallMessages.ForwardRequest)) {
                return answer;
            }
            return answer.exceptionally(
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

    /** Takes frames that the proper check does not. */
    static final class LenientFrameCheck implements FrameValidator {

        /** The proper check. */
        private final FrameValidator delegate;

        /** The identifier of the request. */
        private final String requestId;

        /** The finding that is overlooked. */
        private final Result ignoredFinding;

        /** What is found instead. */
        private final Result replacementFinding;

        /**
         * Creates a new check.
         *
         * @param check The proper check.
         * @param requestId The identifier of the request.
         * @param overlooked The finding that is overlooked.
         * @param instead What is found instead.
         */
        LenientFrameCheck(FrameValidator check, String requestId, Result overlooked, Result instead) {
            this.delegate = check;
            this.requestId = requestId;
            this.ignoredFinding = overlooked;
            this.replacementFinding = instead;
        }

        @Override
        public Result validate(ResponseFrame frame) {
            Result finding = delegate.validate(frame);
            if (finding != ignoredFinding) {
                return finding;
            }
            if (finding == Result.GAP) {
                while (delegate.nextSequence() < frame.sequence()) {
                    delegate.validate(new ResponseFrame(requestId, delegate.nextSequence(), "", null));
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
     * Ends each stream that is closed as if its answer were whole.
     *
     * @param delegate The proper client.
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
                    engine, requestId, fromSequence, addFinalFrame(requestId, fromSequence, listener));
        }

        @Override
        public void cancel(Endpoint engine, String requestId) {
            delegate.cancel(engine, requestId);
        }

        /**
         * Returns a listener that adds a last frame.
         *
         * @param requestId The identifier of the request.
         * @param fromSequence The sequence of the first frame.
         * @param listener The proper listener.
         * @return The listener.
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
