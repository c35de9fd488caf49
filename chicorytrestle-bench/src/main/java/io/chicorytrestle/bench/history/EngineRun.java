package io.chicorytrestle.bench.history;

import io.chicorytrestle.core.endpoint.ResponseFrame;
import io.chicorytrestle.core.endpoint.Usage;
import java.util.ArrayList;
import java.util.List;

/** A request that an engine runs or holds. */
final class EngineRun {

    /** The identifier of the request. */
    private final String requestId;

    /** The prompt. */
    private final String prompt;

    /** The number of pieces that the whole answer has. */
    private final int pieceCount;

    /** The frames so far. */
    private final List<ResponseFrame> frames = new ArrayList<>();

    /** The streams that follow the run. */
    private final List<EngineStream> streams = new ArrayList<>();

    /**
     * Creates a new run.
     *
     * @param requestId The identifier of the request.
     * @param prompt The prompt.
     * @param pieces The number of pieces that the whole answer has.
     */
    EngineRun(String requestId, String prompt, int pieces) {
        this.requestId = requestId;
        this.prompt = prompt;
        this.pieceCount = pieces;
    }

    /**
     * Returns the whole answer to a prompt.
     *
     * @param prompt The prompt.
     * @param pieces The number of pieces.
     * @return The whole answer.
     */
    static String completeText(String prompt, int pieces) {
        StringBuilder builder = new StringBuilder();
        for (int index = 0; index < pieces; index++) {
            builder.append(pieceText(prompt, index));
        }
        return builder.toString();
    }

    /**
     * Returns a piece of an answer.
     *
     * @param prompt The prompt.
     * @param index The index of the piece.
     * @return The piece.
     */
    private static String pieceText(String prompt, int index) {
        return "[" + prompt + "/" + index + "]";
    }

    /**
     * Adds a stream that follows the run.
     *
     * @param stream The stream.
     * @param from The sequence of the first frame to send.
     */
    void addStream(EngineStream stream, int from) {
        streams.add(stream);
        frames.stream().filter(frame -> frame.sequence() >= from).forEach(stream::send);
    }

    /**
     * Generates the next piece.
     *
     * @return {@code false} if the answer is whole.
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

    /** Breaks all streams. */
    void breakStreams() {
        streams.forEach(EngineStream::breakConnection);
    }
}
