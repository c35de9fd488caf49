package io.chicorytrestle.core.endpoint;

import io.chicorytrestle.core.verdict.RequestFailureException;

/**
 * Receives the frames of one stream, one call at a time, in the order in which they arrived.
 * Exactly one call of {@link #onClosed} or {@link #onFailure} ends the stream.
 */
public interface FrameListener {

    /**
     * Receives a frame.
     *
     * @param frame The frame as it arrived, unchecked.
     */
    void onFrame(ResponseFrame frame);

    /** Learns that the endpoint closed the stream in the ordinary way, whole or not. */
    void onClosed();

    /**
     * Learns that the stream failed.
     *
     * @param failure The failure, whose verdict tells whether the engine may have run the request.
     */
    void onFailure(RequestFailureException failure);
}
