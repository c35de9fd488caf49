package io.chicorytrestle.standin.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.standin.model.SyntheticAnswer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** The answer of one request, which several readers can follow from any frame on. */
final class ResponseStream {

    /** The identifier of the request. */
    private final String requestId;

    /** The text of the answer. */
    private final SyntheticAnswer text;

    /** The readers that follow the answer. */
    private final Set<FrameReader> readers = new LinkedHashSet<>();

    /** The frames of text that were generated. */
    private int generatedTokens;

    /** The answer's cost, or {@code null} before its end. */
    private @Nullable Usage usage;

    /** Whether no further frame will come. */
    private boolean ended;

    /**
     * Creates a new, empty answer.
     *
     * @param requestId The identifier of the request.
     * @param text The text of the answer.
     */
    ResponseStream(String requestId, SyntheticAnswer text) {
        this.requestId = requestId;
        this.text = text;
    }

    /**
     * Follows the answer.
     *
     * @param fromSequence The first frame to read.
     * @param faults How the stream misbehaves.
     * @return The frames as lines.
     */
    ChannelSupplier<ByteBuf> openReader(int fromSequence, Faults faults) {
        FrameReader reader = new FrameReader(fromSequence, faults);
        readers.add(reader);
        return reader;
    }

    /**
     * Adds text.
     *
     * @param tokens The words that were generated up to now.
     */
    void onTokensGenerated(int tokens) {
        generatedTokens = tokens;
        notifyReaders();
    }

    /**
     * Ends the answer as whole.
     *
     * @param cost The answer's cost.
     */
    void finish(Usage cost) {
        generatedTokens = text.tokens();
        usage = cost;
        ended = true;
        notifyReaders();
    }

    /** Ends the answer though it is not whole. */
    void cancel() {
        ended = true;
        notifyReaders();
    }

    /** Breaks the readers' connections. */
    void breakConnections() {
        List.copyOf(readers).forEach(reader -> reader.closeEx(new IOException("Cut by crash")));
    }

    /** Hands frames to the readers that wait. */
    private void notifyReaders() {
        List.copyOf(readers).forEach(FrameReader::completePendingRead);
    }

    /**
     * Returns the number of frames that are there.
     *
     * @return The number of frames.
     */
    private int availableFrames() {
        return usage == null ? generatedTokens : generatedTokens + 1;
    }

    /**
     * Builds a frame.
     *
     * @param sequence The position of the frame.
     * @return The frame.
     */
    private Frame frameAt(int sequence) {
        return sequence < generatedTokens
                ? new Frame(requestId, sequence, text.wordAt(sequence), null)
                : new Frame(requestId, sequence, "", usage);
    }

    /** Follows the answer at its own pace. */
    private final class FrameReader extends AbstractChannelSupplier<ByteBuf> {

        /** How the stream misbehaves. */
        private final Faults faults;

        /** The next frame to hand over. */
        private int nextSequence;

        /** The frames that were handed over. */
        private int sentFrames;

        /** Waits for frames, or {@code null}. */
        private @Nullable SettablePromise<ByteBuf> pendingRead;

        /**
         * Creates a new reader.
         *
         * @param next The first frame to hand over.
         * @param faults How the stream misbehaves.
         */
        private FrameReader(int next, Faults faults) {
            this.nextSequence = next;
            this.faults = faults;
        }

        @Override
        protected Promise<ByteBuf> doGet() {
            if (faults.cutAfterFrames() > 0 && sentFrames >= faults.cutAfterFrames()) {
                return Promise.ofException(new IOException("Cut by fault"));
            }
            if (nextSequence < availableFrames()) {
                return Promise.of(encodeAvailableFrames());
            }
            if (ended) {
                readers.remove(this);
                return Promise.of(null);
            }
            pendingRead = new SettablePromise<>();
            return pendingRead;
        }

        @Override
        protected void onClosed(Exception exception) {
            readers.remove(this);
            SettablePromise<ByteBuf> pending = pendingRead;
            if (pending != null) {
                pendingRead = null;
                pending.trySetException(exception);
            }
        }

        /** Hands over what is there if the reader waits for it. */
        private void completePendingRead() {
            SettablePromise<ByteBuf> pending = pendingRead;
            if (pending != null && (ended || nextSequence < availableFrames())) {
                pendingRead = null;
                doGet().subscribe(pending::set);
            }
        }

        /**
         * Takes the frames that are there.
         *
         * @return The frames as lines.
         */
        private ByteBuf encodeAvailableFrames() {
            ByteArrayOutputStream lines = new ByteArrayOutputStream();
            int end = availableFrames();
            if (faults.cutAfterFrames() > 0) {
                end = Math.min(end, nextSequence + faults.cutAfterFrames() - sentFrames);
            }
            for (; nextSequence < end; nextSequence++) {
                appendLine(lines, frameAt(nextSequence));
                sentFrames++;
                if (faults.foreignFrames()) {
                    appendLine(lines, new Frame(requestId + "-other", nextSequence, "other ", null));
                    appendLine(lines, frameAt(nextSequence));
                }
            }
            return ByteBuf.wrapForReading(lines.toByteArray());
        }

        /**
         * Appends a frame as a line.
         *
         * @param lines The lines.
         * @param frame The frame.
         */
        private static void appendLine(ByteArrayOutputStream lines, Frame frame) {
            lines.writeBytes(JsonResponses.encode(frame));
            lines.write('\n');
        }
    }

    /**
     * Holds a frame as it is sent.
     *
     * @param requestId The identifier of the request.
     * @param sequence The position of the frame.
     * @param text The text.
     * @param usage The answer's cost, in the last frame only.
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    private record Frame(String requestId, int sequence, String text, @Nullable Usage usage) {}
}
