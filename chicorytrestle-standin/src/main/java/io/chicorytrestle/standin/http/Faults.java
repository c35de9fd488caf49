package io.chicorytrestle.standin.http;

/**
 * The faults that an endpoint injects while it serves requests.
 *
 * @param delayMillis The delay before each request is handled, in milliseconds.
 * @param cutAfterFrames The number of frames after which a response stream breaks, or zero for
 *     never.
 * @param foreignFrames {@code true} if a frame of another request and a duplicate follow each frame
 *     of a stream.
 * @param dropAnswers {@code true} if a plain service executes operations but breaks the connection
 *     instead of responding.
 */
record Faults(long delayMillis, int cutAfterFrames, boolean foreignFrames, boolean dropAnswers) {

    /** No faults. */
    static final Faults NONE = new Faults(0, 0, false, false);
}
