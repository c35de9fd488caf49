package io.chicorytrestle.bench.history;

import io.chicorytrestle.core.endpoint.ResponseFrame;
import io.chicorytrestle.core.endpoint.Usage;
import java.util.ArrayList;
import java.util.List;

/** Holds a request that an engine runs, or has completed and keeps for resumed streams. */
final class EngineRun {

    /** The identifier of the request. */
    private final String requestId;

    /** The prompt, which determines the generated text. */
    private final String prompt;

    /** The number of text pieces in the complete response. */
    private final int pieceCount;

    /** The frames generated so far, in the order of their sequence numbers. */
    private final List<ResponseFrame> frames = new ArrayList<>();

    /** The streams that receive each new frame. */
    private final List<EngineStream> streams = new ArrayList<>();

    /**
     * Creates a run that has generated no frames yet.
     *
     * @param requestId The identifier of the request.
     * @param prompt The prompt, which determines the generated text.
     * @param pieceCount The number of text pieces in the complete response.
     */
    EngineRun(String requestId, String prompt, int pieceCount) {
        this.requestId = requestId;
        this.prompt = prompt;
        this.pieceCount = pieceCount;
    }

    /**
     * Returns the complete response text that engines generate for a prompt.
     *
     * @param prompt The prompt.
     * @param pieceCount The number of text pieces.
     * @return The complete text.
     */
    static String completeText(String prompt, int pieceCount) {
        StringBuilder builder = new StringBuilder();
        for (int index = 0; index < pieceCount; index++) {
            builder.append(pieceText(prompt, index));
        }
        return builder.toString();
    }

    /**
     * Returns one text piece of a response. It contains the prompt and its index, so that foreign,
     * missing and repeated pieces can be detected.
     *
     * @param prompt The prompt.
     * @param index The index of the piece, from zero on.
     * @return The text.
     */
    private static String pieceText(String prompt, int index) {
        return "[" + prompt + "/" + index + "]";
    }

    /**
     * Adds a stream, and sends it the existing frames from a sequence number on.
     *
     * @param stream The stream that will receive each new frame.
     * @param from The sequence number of the first frame to send.
     */
    void addStream(EngineStream stream, int from) {
        streams.add(stream);
        frames.stream().filter(frame -> frame.sequence() >= from).forEach(stream::send);
    }

    /**
     * Generates the next frame and sends it on all streams. The frame after the last text piece
     * carries the usage and ends the response.
     *
     * @return {@code false} if this was the final frame.
     */
    boolean generateFrame() {
        int next = frames.size();
        boolean last = next == pieceCount;
        ResponseFrame frame =
                last
                        ? new ResponseFrame(requestId, next, "", new Usage(1, 0, pieceCount))
                        : new ResponseFrame(requestId, next, pieceText(prompt, next), null);
        frames.add(frame);
        List.copyOf(streams).forEach(stream -> stream.send(frame));
        return !last;
    }

    /** Breaks all streams, because the engine stopped. */
    void breakStreams() {
        streams.forEach(EngineStream::breakConnection);
    }
}
