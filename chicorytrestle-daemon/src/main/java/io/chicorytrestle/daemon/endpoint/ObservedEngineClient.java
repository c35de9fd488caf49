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
 * Sends requests to engines through another client and reports the engines' successes and failures
 * to an observer.
 *
 * @param delegate The client that sends the requests.
 * @param observer Notified of the first frame of each stream and of failures caused by an engine.
 * @param clock Supplies the current time in milliseconds.
 */
public record ObservedEngineClient(
        EngineClient delegate, MembershipObserver observer, LongSupplier clock)
        implements EngineClient {

    @Override
    public void generate(Endpoint engine, GenerateRequest request, FrameListener delegateListener) {
        delegate.generate(engine, request, new ObservingFrameListener(engine, delegateListener));
    }

    @Override
    public void resume(
            Endpoint engine, String requestId, long fromSequence, FrameListener delegateListener) {
        delegate.resume(
                engine,
                requestId,
                fromSequence,
                new ObservingFrameListener(engine, delegateListener));
    }

    @Override
    public void cancel(Endpoint engine, String requestId) {
        delegate.cancel(engine, requestId);
    }

    /** Forwards frames and reports the first one and a failure to the observer. */
    private final class ObservingFrameListener implements FrameListener {

        /** The engine that sends the stream. */
        private final Endpoint engine;

        /** Receives all events of the stream. */
        private final FrameListener delegateListener;

        /** Whether a frame arrived. */
        private boolean frameReceived;

        /**
         * Creates a listener.
         *
         * @param engine The engine that sends the stream.
         * @param delegateListener Receives all events of the stream.
         */
        private ObservingFrameListener(Endpoint engine, FrameListener delegateListener) {
            this.engine = engine;
            this.delegateListener = delegateListener;
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
