package io.chicorytrestle.daemon.endpoint;

import com.fasterxml.jackson.databind.ObjectReader;
import io.activej.async.exception.AsyncCloseException;
import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufs;
import io.activej.common.exception.MalformedDataException;
import io.activej.common.exception.TruncatedDataException;
import io.activej.csp.binary.BinaryChannelSupplier;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.chicorytrestle.core.endpoint.FrameListener;
import io.chicorytrestle.core.endpoint.ResponseFrame;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/** Reads the frames of one streamed answer. It is confined to its event loop. */
final class FrameStreamReader {

    /** The most lines to read before other work of the event loop has its turn. */
    private static final int MAXIMUM_LINES_PER_PASS = 64;

    /** The longest line of a stream in bytes. */
    private static final int MAXIMUM_LINE_BYTES = 1_048_576;

    /** Ends each line. */
    private static final byte LINE_FEED = '\n';

    /** Reads frames. */
    private static final ObjectReader FRAME_READER =
            EndpointProtocol.MAPPER.readerFor(ResponseFrame.class);

    /** The event loop. */
    private final Eventloop loop;

    /** The engine. */
    private final Endpoint engine;

    /** Receives the frames. */
    private final FrameListener listener;

    /** The most milliseconds that the engine may stay silent. */
    private final int silenceTimeoutMillis;

    /** The bytes that arrive, once the answer's head did. */
    private @Nullable ChannelSupplier<ByteBuf> lines;

    /** The time of the last sign of life in milliseconds of the event loop's clock. */
    private long lastReceivedMillis;

    /** The next look at how long the engine is silent, if one is due. */
    private @Nullable ScheduledRunnable scheduleSilenceCheck;

    /** Whether the listener learned the end. */
    private boolean ended;

    /**
     * Creates a new stream.
     *
     * @param loop The event loop.
     * @param engine The engine.
     * @param listener Receives the frames.
     * @param silenceTimeoutMillis The most milliseconds that the engine may stay silent.
     */
    FrameStreamReader(
            Eventloop loop, Endpoint engine, FrameListener listener, int silenceTimeoutMillis) {
        this.loop = loop;
        this.engine = engine;
        this.listener = listener;
        this.silenceTimeoutMillis = silenceTimeoutMillis;
    }

    /** Starts to watch for silence. */
    void start() {
        lastReceivedMillis = loop.currentTimeMillis();
        scheduleSilenceCheck();
    }

    /**
     * Receives the bytes of the answer.
     *
     * @param body The bytes.
     */
    void readBody(ChannelSupplier<ByteBuf> body) {
        if (ended) {
            body.closeEx(new AsyncCloseException("Cannot await answer any more"));
            return;
        }
        lines = BinaryChannelSupplier.of(body).decodeStream(FrameStreamReader::decodeLine);
        readLines(lines);
    }

    /**
     * Fails the stream unless it ended.
     *
     * @param failure The failure.
     */
    void fail(RequestFailureException failure) {
        if (!ended) {
            markEnded();
            closeConnection();
            listener.onFailure(failure);
        }
    }

    /**
     * Reads the lines that are there, and waits for the next.
     *
     * @param source The lines.
     */
    private void readLines(ChannelSupplier<ByteBuf> source) {
        for (int count = 0; count < MAXIMUM_LINES_PER_PASS; count++) {
            Promise<ByteBuf> line = source.get();
            if (!line.isResult()) {
                line.whenResult(
                                late -> {
                                    if (handleLine(late)) {
                                        readLines(source);
                                    }
                                })
                        .whenException(exception -> fail(toFailure(exception)));
                return;
            }
            if (!handleLine(line.getResult())) {
                return;
            }
        }
        loop.post(() -> readLines(source));
    }

    /**
     * Hands over a line.
     *
     * @param line The line, or {@code null} at the end of the stream.
     * @return {@code true} if another line is to be read.
     */
    private boolean handleLine(@Nullable ByteBuf line) {
        if (ended) {
            return false;
        }
        if (line == null) {
            markEnded();
            listener.onClosed();
            return false;
        }
        lastReceivedMillis = loop.currentTimeMillis();
        try {
            listener.onFrame(FRAME_READER.readValue(line.asArray()));
        } catch (IOException exception) {
            fail(toFailure(exception));
        }
        return !ended;
    }

    /** Ends the stream and the watch over it, which would hold it in memory. */
    private void markEnded() {
        ended = true;
        ScheduledRunnable scheduled = scheduleSilenceCheck;
        if (scheduled != null) {
            scheduled.cancel();
            scheduleSilenceCheck = null;
        }
    }

    /** Checks for silence from time to time. */
    private void scheduleSilenceCheck() {
        scheduleSilenceCheck =
                loop.delayBackground(
                        silenceTimeoutMillis / 2 + 1,
                        () -> {
                            if (loop.currentTimeMillis() - lastReceivedMillis
                                    >= silenceTimeoutMillis) {
                                fail(
                                        RequestFailureException.mayHaveRun(
                                                FailureCode.ENDPOINT_FAILED,
                                                "Cannot await silent endpoint: " + engine.name()));
                            } else {
                                scheduleSilenceCheck();
                            }
                        });
    }

    /** Closes the connection, if there is one. */
    private void closeConnection() {
        if (lines != null) {
            lines.closeEx(new AsyncCloseException("Cannot use stream any more"));
        }
    }

    /**
     * Returns the failure of a stream that broke.
     *
     * @param cause What went wrong.
     * @return The failure.
     */
    private RequestFailureException toFailure(Exception cause) {
        return RequestFailureException.mayHaveRun(
                cause instanceof TruncatedDataException
                        ? FailureCode.ANSWER_CUT
                        : FailureCode.ENDPOINT_FAILED,
                "Cannot read answer of endpoint: %s (%s)"
                        .formatted(engine.name(), cause.getClass().getSimpleName()));
    }

    /**
     * Takes one line from the bytes that arrived.
     *
     * @param bufs The bytes.
     * @return The line without its end, or {@code null} if it is not whole yet.
     * @throws MalformedDataException If the line is too long.
     */
    private static @Nullable ByteBuf decodeLine(ByteBufs bufs) throws MalformedDataException {
        int length = bufs.scanBytes((index, value) -> value == LINE_FEED);
        if (length == 0) {
            if (bufs.remainingBytes() > MAXIMUM_LINE_BYTES) {
                throw new MalformedDataException("Cannot read line longer than allowed");
            }
            return null;
        }
        ByteBuf line = bufs.takeExactSize(length);
        line.moveTail(-1);
        return line;
    }
}
