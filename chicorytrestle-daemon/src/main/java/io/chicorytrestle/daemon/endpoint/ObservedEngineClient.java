package io.chicorytrestle.daemon.endpoint;

import io.chicorytrestle.core.endpoint.EngineClient;
import io.chicorytrestle.core.endpoint.FrameListener;
import io.chicorytrestle.core.endpoint.GenerateRequest;
import io.chicorytrestle.core.endpoint.ResponseFrame;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.membership.MembershipObserver;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.function.LongSupplier;

/**
 * Reaches engines through another client and tells an observer which of them fail.
 *
 * @param delegate The other client.
 * @param observer Learns of signs of life and failures.
 * @param clock Tells the present time in milliseconds.
 */
public record ObservedEngineClient(
        EngineClient delegate, MembershipObserver observer, LongSupplier clock)
        implements EngineClient {

    @Override
    public void generate(Endpoint engine, GenerateRequest request, FrameListener listener) {
        delegate.generate(engine, request, new ObservingFrameListener(engine, listener));
    }

    @Override
    public void resume(
            Endpoint engine, String requestId, long fromSequence, FrameListener listener) {
        delegate.resume(
                engine, requestId, fromSequence, new ObservingFrameListener(engine, listener));
    }

    @Override
    public void cancel(Endpoint engine, String requestId) {
        delegate.cancel(engine, requestId);
    }

    /** Hands frames on and observes the first one and a failure. */
    private final class ObservingFrameListener implements FrameListener {

        /** The engine. */
        private final Endpoint engine;

        /** Receives the frames. */
        private final FrameListener delegateListener;

        /** Whether a frame arrived. */
        private boolean frameReceived;

        /**
         * Creates new frames.
         *
         * @param engine The engine.
         * @param listener Receives the frames.
         */
        private ObservingFrameListener(Endpoint engine, FrameListener listener) {
            this.engine = engine;
            this.delegateListener = listener;
        }

        @Override
        public void onFrame(ResponseFrame frame) {
            if (!frameReceived) {
                frameReceived = true;
                observer.endpointSucceeded(engine.identity(), clock.getAsLong());
            }
            delegateListener.onFrame(frame);
        }

        @Override
        public void onClosed() {
            delegateListener.onClosed();
        }

        @Override
        public void onFailure(RequestFailureException failure) {
            if (EndpointProtocol.isEndpointFault(failure)) {
                observer.endpointFailed(engine.identity(), clock.getAsLong());
            }
            delegateListener.onFailure(failure);
        }
    }
}
