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
final class FaultyParts {

    /** Prevents instances. */
    private FaultyParts() {}

    /**
     * Takes tickets of every incarnation as its own.
     *
     * @param codec The proper codec.
     * @param incarnation The instance's own incarnation.
     */
    record AnyIncarnation(TicketCodec codec, long incarnation) implements TicketCodec {

        @Override
        public String encode(Ticket ticket) {
            return codec.encode(ticket);
        }

        @Override
        public Ticket decode(String encoded, String workspace) throws RequestFailureException {
            Ticket ticket = codec.decode(encoded, workspace);
            InstanceIdentity issuer = ticket.issuer();
            return new Ticket(
                    new InstanceIdentity(issuer.name(), issuer.zone(), incarnation),
                    ticket.workspace(),
                    ticket.number(),
                    ticket.expiresAtMillis());
        }
    }

    /** Hands everything to the proper ledger. */
    private static class Delegating implements Ledger {

        /** The proper ledger. */
        final Ledger ledger;

        /**
         * Creates a new ledger.
         *
         * @param ledger The proper ledger.
         */
        Delegating(Ledger ledger) {
            this.ledger = ledger;
        }

        @Override
        public Claim claim(Ticket ticket, String callHash, long nowMillis)
                throws RequestFailureException {
            return ledger.claim(ticket, callHash, nowMillis);
        }

        @Override
        public boolean start(Ticket ticket, long nowMillis) {
            return ledger.start(ticket, nowMillis);
        }

        @Override
        public void finish(LedgerRecord record) {
            ledger.finish(record);
        }

        @Override
        public void release(Ticket ticket, RequestFailureException failure) {
            ledger.release(ticket, failure);
        }

        @Override
        public LookupResult lookUp(Ticket ticket, long nowMillis) {
            return ledger.lookUp(ticket, nowMillis);
        }

        @Override
        public void close() {
            ledger.close();
        }

        @Override
        public List<LedgerRecord> seal() {
            return ledger.seal();
        }

        @Override
        public void removeExpired(long nowMillis) {
            ledger.removeExpired(nowMillis);
        }

        @Override
        public boolean hasCapacity(long nowMillis) {
            return ledger.hasCapacity(nowMillis);
        }

        @Override
        public int size() {
            return ledger.size();
        }

        @Override
        public int claimCount() {
            return ledger.claimCount();
        }
    }

    /** Permits starts without recording them. */
    static final class LateStart extends Delegating {

        /**
         * Creates a new ledger.
         *
         * @param ledger The proper ledger.
         */
        LateStart(Ledger ledger) {
            super(ledger);
        }

        @Override
        public boolean start(Ticket ticket, long nowMillis) {
            return true;
        }
    }

    /** Forgets a call once it has ended. */
    static final class Forgetful extends Delegating {

        /**
         * Creates a new ledger.
         *
         * @param ledger The proper ledger.
         */
        Forgetful(Ledger ledger) {
            super(ledger);
        }

        @Override
        public void finish(LedgerRecord record) {
            ledger.finish(record);
            ledger.removeExpired(Long.MAX_VALUE);
        }
    }

    /** Lets each repeat make an attempt of its own. */
    static final class Unjoined extends Delegating {

        /**
         * Creates a new ledger.
         *
         * @param ledger The proper ledger.
         */
        Unjoined(Ledger ledger) {
            super(ledger);
        }

        @Override
        public Claim claim(Ticket ticket, String callHash, long nowMillis)
                throws RequestFailureException {
            Claim claim = ledger.claim(ticket, callHash, nowMillis);
            return new Claim(
                    claim.mustExecute() || !claim.completion().isDone(), claim.completion());
        }
    }

    /** Goes on after it was sealed. */
    static final class Unsealed extends Delegating {

        /**
         * Creates a new ledger.
         *
         * @param ledger The proper ledger.
         */
        Unsealed(Ledger ledger) {
            super(ledger);
        }

        @Override
        public boolean start(Ticket ticket, long nowMillis) {
            ledger.start(ticket, nowMillis);
            return true;
        }
    }

    /**
     * Reports broken connections as not run.
     *
     * @param services The proper client.
     */
    record Optimistic(ServiceClient services) implements ServiceClient {

        @Override
        public CompletableFuture<ServiceResponse> execute(
                Endpoint service, ServiceRequest request, LongPredicate mayWrite) {
            CompletableFuture<ServiceResponse> answer = new CompletableFuture<>();
            services.execute(service, request, mayWrite)
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
     * @param network The proper network.
     */
    record HastyNetwork(PeerNetwork network) implements PeerNetwork {

        @Override
        public boolean send(String instance, PeerMessage message, MessagePriority urgency) {
            return network.send(instance, message, urgency);
        }

        @Override
        public CompletableFuture<PeerMessage> request(
                String instance, PeerMessage message, long timeoutMillis) {
            CompletableFuture<PeerMessage> answer =
                    network.request(instance, message, timeoutMillis);
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
    static final class LooseCheck implements FrameValidator {

        /** The proper check. */
        private final FrameValidator check;

        /** The identifier of the request. */
        private final String requestId;

        /** The finding that is overlooked. */
        private final Result overlooked;

        /** What is found instead. */
        private final Result instead;

        /**
         * Creates a new check.
         *
         * @param check The proper check.
         * @param requestId The identifier of the request.
         * @param overlooked The finding that is overlooked.
         * @param instead What is found instead.
         */
        LooseCheck(FrameValidator check, String requestId, Result overlooked, Result instead) {
            this.check = check;
            this.requestId = requestId;
            this.overlooked = overlooked;
            this.instead = instead;
        }

        @Override
        public Result validate(ResponseFrame frame) {
            Result finding = check.validate(frame);
            if (finding != overlooked) {
                return finding;
            }
            if (finding == Result.GAP) {
                while (check.nextSequence() < frame.sequence()) {
                    check.validate(new ResponseFrame(requestId, check.nextSequence(), "", null));
                }
                return check.validate(frame);
            }
            return instead;
        }

        @Override
        public long nextSequence() {
            return check.nextSequence();
        }
    }

    /**
     * Ends each stream that is closed as if its answer were whole.
     *
     * @param engines The proper client.
     */
    record EagerEnd(EngineClient engines) implements EngineClient {

        @Override
        public void generate(Endpoint engine, GenerateRequest request, FrameListener listener) {
            engines.generate(engine, request, ended(request.requestId(), 0, listener));
        }

        @Override
        public void resume(
                Endpoint engine, String requestId, long fromSequence, FrameListener listener) {
            engines.resume(
                    engine, requestId, fromSequence, ended(requestId, fromSequence, listener));
        }

        @Override
        public void cancel(Endpoint engine, String requestId) {
            engines.cancel(engine, requestId);
        }

        /**
         * Returns a listener that adds a last frame.
         *
         * @param requestId The identifier of the request.
         * @param fromSequence The sequence of the first frame.
         * @param listener The proper listener.
         * @return The listener.
         */
        private static FrameListener ended(
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
