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

/**
 * Reads the frames of one streamed response of an engine, one JSON object in each line. It is
 * confined to its event loop.
 */
final class FrameStreamReader {

    /** The maximum number of lines to read before the other tasks of the event loop run. */
    private static final int MAXIMUM_LINES_PER_PASS = 64;

    /** The maximum length of a line in bytes. */
    private static final int MAXIMUM_LINE_BYTES = 1_048_576;

    /** The byte that ends each line. */
    private static final byte LINE_FEED = '\n';

    /** Parses frames. */
    private static final ObjectReader FRAME_READER =
            EndpointProtocol.MAPPER.readerFor(ResponseFrame.class);

    /** The event loop of the connection. */
    private final Eventloop loop;

    /** The engine that sends the stream. */
    private final Endpoint engine;

    /** Receives the frames. */
    private final FrameListener listener;

    /** The maximum number of milliseconds without a frame. */
    private final int silenceTimeoutMillis;

    /** The lines of the response body, or {@code null} until the response's head has arrived. */
    private @Nullable ChannelSupplier<ByteBuf> lines;

    /** The time of the latest frame, or of the start, in milliseconds of the event loop's clock. */
    private long lastReceivedMillis;

    /** The next scheduled check for silence, or {@code null} if there is none. */
    private @Nullable ScheduledRunnable silenceCheck;

    /** Whether the listener was notified of the end. */
    private boolean ended;

    /**
     * Creates a reader.
     *
     * @param loop The event loop of the connection.
     * @param engine The engine that sends the stream.
     * @param listener Receives the frames.
     * @param silenceTimeoutMillis The maximum number of milliseconds without a frame.
     */
    FrameStreamReader(
            Eventloop loop, Endpoint engine, FrameListener listener, int silenceTimeoutMillis) {
        this.loop = loop;
        this.engine = engine;
        this.listener = listener;
        this.silenceTimeoutMillis = silenceTimeoutMillis;
    }

    /** Starts the checks for silence, which also cover the wait for the response's head. */
    void start() {
        lastReceivedMillis = loop.currentTimeMillis();
        scheduleSilenceCheck();
    }

    /**
     * Reads the frames of a response body.
     *
     * @param body The response body.
     */
    void readBody(ChannelSupplier<ByteBuf> body) {
        if (ended) {
            body.closeEx(new AsyncCloseException("Stream ended before the response arrived"));
            return;
        }
        lines = BinaryChannelSupplier.of(body).decodeStream(FrameStreamReader::decodeLine);
        readLines(lines);
    }

    /**
     * Closes the connection and reports a failure, unless the stream ended.
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
     * Reads all available lines and waits for the next one.
     *
     * @param source The lines.
     */
    private void readLines(ChannelSupplier<ByteBuf> source) {
        for (int count = 0; count < MAXIMUM_LINES_PER_PASS; count++) {
            Promise<ByteBuf> line = source.get();
            if (!line.isResult()) {
                line.whenResult(
                                nextLine -> {
                                    if (handleLine(nextLine)) {
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
     * Parses a line and passes the frame to the listener.
     *
     * @param line The line, or {@code null} at the end of the stream.
     * @return {@code true} if the stream continues.
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

    /**
     * Marks the stream as ended and cancels the check for silence, which would keep this object in
     * memory.
     */
    private void markEnded() {
        ended = true;
        ScheduledRunnable scheduled = silenceCheck;
        if (scheduled != null) {
            scheduled.cancel();
            silenceCheck = null;
        }
    }

    /** Schedules the next check for silence after half the time-out. */
    private void scheduleSilenceCheck() {
        silenceCheck =
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

    /** Closes the connection if the response's head has arrived. */
    private void closeConnection() {
        if (lines != null) {
            lines.closeEx(new AsyncCloseException("Stream failed"));
        }
    }

    /**
     * Returns the failure for an interrupted or malformed stream.
     *
     * @param cause The cause of the failure.
     * @return The failure, with a verdict that the request may have run.
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
     * Decodes one line from the received bytes.
     *
     * @param bufs The received bytes.
     * @return The line without its line feed, or {@code null} if it is incomplete.
     * @throws MalformedDataException If the line exceeds the maximum length.
     */
    private static @Nullable ByteBuf decodeLine(ByteBufs bufs) throws MalformedDataException {
        int length = bufs.scanBytes((index, value) -> value == LINE_FEED);
        if (length == 0) {
            if (bufs.remainingBytes() > MAXIMUM_LINE_BYTES) {
                throw new MalformedDataException("Line exceeds the maximum length");
            }
            return null;
        }
        ByteBuf line = bufs.takeExactSize(length);
        line.moveTail(-1);
        return line;
    }
}
