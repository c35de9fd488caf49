package io.chicorytrestle.daemon.endpoint;

import io.chicorytrestle.core.endpoint.AnswerFrame;
import io.chicorytrestle.core.endpoint.EngineClient;
import io.chicorytrestle.core.endpoint.FrameListener;
import io.chicorytrestle.core.endpoint.GenerateRequest;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.membership.MembershipObserver;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.function.LongSupplier;

/**
 * Reaches engines through another client and tells an observer which of them fail.
 *
 * @param client The other client.
 * @param observer Learns of signs of life and failures.
 * @param clock Tells the present time in milliseconds.
 */
public record ObservedEngineClient(
        EngineClient client, MembershipObserver observer, LongSupplier clock)
        implements EngineClient {

    @Override
    public void generate(Endpoint engine, GenerateRequest request, FrameListener listener) {
        client.generate(engine, request, new ObservedFrames(engine, listener));
    }

    @Override
    public void resume(
            Endpoint engine, String requestId, long fromSequence, FrameListener listener) {
        client.resume(engine, requestId, fromSequence, new ObservedFrames(engine, listener));
    }

    @Override
    public void cancel(Endpoint engine, String requestId) {
        client.cancel(engine, requestId);
    }

    /** Hands frames on and observes the first one and a failure. */
    private final class ObservedFrames implements FrameListener {

        /** The engine. */
        private final Endpoint engine;

        /** Receives the frames. */
        private final FrameListener listener;

        /** Whether a frame arrived. */
        private boolean alive;

        /**
         * Creates new frames.
         *
         * @param engine The engine.
         * @param listener Receives the frames.
         */
        private ObservedFrames(Endpoint engine, FrameListener listener) {
            this.engine = engine;
            this.listener = listener;
        }

        @Override
        public void onFrame(AnswerFrame frame) {
            if (!alive) {
                alive = true;
                observer.endpointSucceeded(engine.identity(), clock.getAsLong());
            }
            listener.onFrame(frame);
        }

        @Override
        public void onClosed() {
            listener.onClosed();
        }

        @Override
        public void onFailure(RequestFailureException failure) {
            if (EndpointProtocol.isOfEndpoint(failure)) {
                observer.endpointFailed(engine.identity(), clock.getAsLong());
            }
            listener.onFailure(failure);
        }
    }
}
