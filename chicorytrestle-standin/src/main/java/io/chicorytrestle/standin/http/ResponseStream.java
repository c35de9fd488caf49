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

/** The streamed response to one request. Several readers can follow it, each from any frame on. */
final class ResponseStream {

    /** The request identifier. */
    private final String requestId;

    /** The text to stream, one word a frame. */
    private final SyntheticAnswer text;

    /** The readers whose streams are open. */
    private final Set<FrameReader> readers = new LinkedHashSet<>();

    /** The number of text frames that were generated. */
    private int generatedTokens;

    /** The token usage, or {@code null} unless the response is complete. */
    private @Nullable Usage usage;

    /** Whether the response was completed or cancelled, so that no further frame follows. */
    private boolean ended;

    /**
     * Creates a new response without frames.
     *
     * @param requestId The request identifier.
     * @param text The text to stream, one word a frame.
     */
    ResponseStream(String requestId, SyntheticAnswer text) {
        this.requestId = requestId;
        this.text = text;
    }

    /**
     * Opens a stream of the response for one reader.
     *
     * @param fromSequence The position of the first frame to send.
     * @param faults The faults to inject into the stream.
     * @return The frames, one JSON object a line.
     */
    ChannelSupplier<ByteBuf> openReader(int fromSequence, Faults faults) {
        FrameReader reader = new FrameReader(fromSequence, faults);
        readers.add(reader);
        return reader;
    }

    /**
     * Makes newly generated text available to the readers.
     *
     * @param tokens The number of tokens that were generated so far.
     */
    void onTokensGenerated(int tokens) {
        generatedTokens = tokens;
        notifyReaders();
    }

    /**
     * Completes the response with all its text and a last frame that holds the usage.
     *
     * @param finalUsage The token usage.
     */
    void finish(Usage finalUsage) {
        generatedTokens = text.tokens();
        usage = finalUsage;
        ended = true;
        notifyReaders();
    }

    /** Ends the response early, without a usage frame. */
    void cancel() {
        ended = true;
        notifyReaders();
    }

    /** Closes the readers' connections with an error, as when the engine crashes. */
    void breakConnections() {
        List.copyOf(readers)
                .forEach(
                        reader ->
                                reader.closeEx(
                                        new IOException("Connection broken by simulated crash")));
    }

    /** Sends new frames to the readers that wait for them. */
    private void notifyReaders() {
        List.copyOf(readers).forEach(FrameReader::completePendingRead);
    }

    /**
     * Returns the number of frames that can be sent.
     *
     * @return The text frames and, once the response is complete, the usage frame.
     */
    private int availableFrames() {
        return usage == null ? generatedTokens : generatedTokens + 1;
    }

    /**
     * Builds the frame at a position.
     *
     * @param sequence The position of the frame, from zero.
     * @return The frame.
     */
    private Frame frameAt(int sequence) {
        return sequence < generatedTokens
                ? new Frame(requestId, sequence, text.wordAt(sequence), null)
                : new Frame(requestId, sequence, "", usage);
    }

    /** Streams the response to one connection at the pace of its reader. */
    private final class FrameReader extends AbstractChannelSupplier<ByteBuf> {

        /** The faults to inject into the stream. */
        private final Faults faults;

        /** The position of the next frame to send. */
        private int nextSequence;

        /** The number of frames that were sent, injected ones not included. */
        private int sentFrames;

        /** The read that waits for frames, or {@code null} if none does. */
        private @Nullable SettablePromise<ByteBuf> pendingRead;

        /**
         * Creates a new reader.
         *
         * @param nextSequence The position of the first frame to send.
         * @param faults The faults to inject into the stream.
         */
        private FrameReader(int nextSequence, Faults faults) {
            this.nextSequence = nextSequence;
            this.faults = faults;
        }

        @Override
        protected Promise<ByteBuf> doGet() {
            if (faults.cutAfterFrames() > 0 && sentFrames >= faults.cutAfterFrames()) {
                return Promise.ofException(new IOException("Connection broken by injected fault"));
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

        /** Completes the pending read if frames are available or the response has ended. */
        private void completePendingRead() {
            SettablePromise<ByteBuf> pending = pendingRead;
            if (pending != null && (ended || nextSequence < availableFrames())) {
                pendingRead = null;
                doGet().subscribe(pending::set);
            }
        }

        /**
         * Encodes the frames that can be sent, up to the one after which a fault breaks the stream.
         *
         * @return The frames, one JSON object a line.
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
                    appendLine(
                            lines, new Frame(requestId + "-other", nextSequence, "other ", null));
                    appendLine(lines, frameAt(nextSequence));
                }
            }
            return ByteBuf.wrapForReading(lines.toByteArray());
        }

        /**
         * Appends a frame as one line of JSON.
         *
         * @param lines The buffer to append to.
         * @param frame The frame.
         */
        private static void appendLine(ByteArrayOutputStream lines, Frame frame) {
            lines.writeBytes(JsonResponses.encode(frame));
            lines.write('\n');
        }
    }

    /**
     * A frame in its JSON form.
     *
     * @param requestId The request identifier.
     * @param sequence The position of the frame, from zero.
     * @param text The text, empty in the last frame.
     * @param usage The token usage, in the last frame only.
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    private record Frame(String requestId, int sequence, String text, @Nullable Usage usage) {}
}
