package io.chicorytrestle.core.endpoint;

import io.chicorytrestle.core.verdict.RequestFailureException;

/**
 * Receives the frames of one stream in the order in which they were received. The methods are
 * called one at a time; exactly one call of {@link #onClosed} or {@link #onFailure} ends the
 * stream.
 */
public interface FrameListener {

    /**
     * Receives a frame, which the listener has to validate.
     *
     * @param frame The frame as received, not validated.
     */
    void onFrame(ResponseFrame frame);

    /**
     * Called when the endpoint closed the stream regularly, whether or not the response is
     * complete.
     */
    void onClosed();

    /**
     * Called when the stream failed.
     *
     * @param failure The failure, whose verdict says whether the engine may have executed the
     *     request.
     */
    void onFailure(RequestFailureException failure);
}
