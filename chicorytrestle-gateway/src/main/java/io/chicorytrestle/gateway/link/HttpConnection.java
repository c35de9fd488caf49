package io.chicorytrestle.gateway.link;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Sends and receives HTTP messages over one socket. The event loop does the socket's I/O; a Netty
 * codec in an embedded channel converts between bytes and messages. Confined to the event loop
 * thread.
 */
public final class HttpConnection {

    /** The number of unwritten bytes above which a sender should pause. */
    private static final int HIGH_WATER_MARK_BYTES = 65_536;

    /** The number of undelivered messages from which no more bytes are read. */
    private static final int MAXIMUM_PENDING_MESSAGES = 256;

    /** The socket. */
    private final ITcpSocket socket;

    /** Decodes received bytes and encodes messages to send. */
    private final EmbeddedChannel codec;

    /** Receives messages and connection events. */
    private final Listener listener;

    /** Run once when all bytes have been written, or null. */
    private @Nullable Runnable onDrained;

    /** The bytes passed to the socket and not written yet. */
    private int unwrittenBytes;

    /** Whether a read is in progress. */
    private boolean isReading;

    /** Whether received messages are kept instead of delivered. */
    private boolean isDeliverySuspended;

    /** Whether reading from the socket is paused. */
    private boolean isReadingPaused;

    /** Whether the peer closed its sending side. */
    private boolean isInputEnded;

    /** Whether this side closed the connection or it broke. */
    private boolean isClosed;

    /**
     * Creates a connection over a socket.
     *
     * @param socket The socket.
     * @param listener Receives messages and connection events.
     * @param handlers The HTTP decoder and encoder.
     */
    private HttpConnection(ITcpSocket socket, Listener listener, ChannelHandler... handlers) {
        this.socket = socket;
        this.listener = listener;
        codec = new EmbeddedChannel();
        codec.config().setAllocator(new UnpooledByteBufAllocator(false, true));
        codec.pipeline().addLast(handlers);
    }

    /**
     * Creates a connection that does not read until {@link #startReading()} is called.
     *
     * @param socket The socket.
     * @param listener Receives messages and connection events.
     * @param handlers The HTTP decoder and encoder.
     * @return The connection.
     */
    public static HttpConnection of(
            ITcpSocket socket, Listener listener, ChannelHandler... handlers) {
        return new HttpConnection(socket, listener, handlers);
    }

    /** Reads until the connection ends or {@link #pauseReading()} is called. */
    public void startReading() {
        if (isReading || isReadingPaused || isInputEnded || isClosed) {
            return;
        }
        isReading = true;
        socket.read()
                .whenComplete(
                        (buffer, failure) -> {
                            isReading = false;
                            failOnUnexpectedError(() -> handleRead(buffer, failure));
                        });
    }

    /**
     * Runs a part of the handling of input. If an error leaves it that nothing expects, the
     * connection breaks at once, since nothing more would be read from it, and the error goes on to
     * the event loop, which reports it.
     *
     * @param action The part.
     */
    private void failOnUnexpectedError(Runnable action) {
        boolean isHandled = false;
        try {
            action.run();
            isHandled = true;
        } finally {
            if (!isHandled && !isClosed) {
                close();
                listener.onFailure(new IOException("Unexpected error while handling input"));
            }
        }
    }

    /**
     * Handles the outcome of a read.
     *
     * @param buffer The bytes, or null at the end of the stream.
     * @param failure The failure, or null if the read succeeded.
     */
    private void handleRead(@Nullable ByteBuf buffer, @Nullable Exception failure) {
        if (isClosed) {
            if (buffer != null) {
                buffer.recycle();
            }
            return;
        }
        if (failure != null) {
            close();
            listener.onFailure(failure);
            return;
        }
        if (buffer == null) {
            isInputEnded = true;
            codec.finish();
            deliverMessages();
            if (!isClosed) {
                listener.onEndOfStream();
            }
            return;
        }
        listener.onBytesReceived();
        if (isClosed) {
            buffer.recycle();
            return;
        }
        codec.writeInbound(Unpooled.wrappedBuffer(buffer.asArray()));
        deliverMessages();
        if (codec.inboundMessages().size() < MAXIMUM_PENDING_MESSAGES) {
            startReading();
        }
    }

    /** Delivers received messages until delivery is suspended or the connection is closed. */
    private void deliverMessages() {
        while (!isDeliverySuspended && !isClosed) {
            HttpObject message = codec.readInbound();
            if (message == null) {
                return;
            }
            try {
                listener.onMessage(message);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }
    }

    /**
     * Suspends delivery of messages. Bytes are still read, so that the end of the stream is
     * detected.
     */
    public void suspendDelivery() {
        isDeliverySuspended = true;
    }

    /** Resumes delivery, beginning with the messages received in the meantime. */
    public void resumeDelivery() {
        isDeliverySuspended = false;
        failOnUnexpectedError(this::deliverMessages);
        startReading();
    }

    /**
     * Returns whether decoded messages have not been delivered yet.
     *
     * @return {@code true} if at least one decoded message is pending.
     */
    public boolean hasUndelivered() {
        return !codec.inboundMessages().isEmpty();
    }

    /** Stops reading after the read in progress, which applies back-pressure to the peer. */
    public void pauseReading() {
        isReadingPaused = true;
    }

    /**
     * Returns whether reading is paused.
     *
     * @return {@code true} until {@link #resumeReading()} is called.
     */
    public boolean isReadingPaused() {
        return isReadingPaused;
    }

    /** Resumes reading. */
    public void resumeReading() {
        isReadingPaused = false;
        startReading();
    }

    /**
     * Encodes messages and writes them in order. Messages for a closed connection are released.
     *
     * @param messages The messages, whose ownership passes to this connection.
     */
    public void write(HttpObject... messages) {
        if (isClosed) {
            for (HttpObject message : messages) {
                ReferenceCountUtil.release(message);
            }
            return;
        }
        codec.writeOutbound((Object[]) messages);
        List<io.netty.buffer.ByteBuf> parts = new ArrayList<>();
        int length = 0;
        for (Object part = codec.readOutbound(); part != null; part = codec.readOutbound()) {
            io.netty.buffer.ByteBuf bytes = (io.netty.buffer.ByteBuf) part;
            parts.add(bytes);
            length += bytes.readableBytes();
        }
        byte[] joined = new byte[length];
        int offset = 0;
        for (io.netty.buffer.ByteBuf part : parts) {
            int size = part.readableBytes();
            part.readBytes(joined, offset, size);
            offset += size;
            part.release();
        }
        unwrittenBytes += length;
        socket.write(ByteBuf.wrapForReading(joined))
                .whenComplete((ignored, failure) -> handleWritten(failure));
    }

    /**
     * Handles the outcome of a write.
     *
     * @param failure The failure, or null if the write succeeded.
     */
    private void handleWritten(@Nullable Exception failure) {
        if (isClosed) {
            return;
        }
        if (failure != null) {
            close();
            listener.onFailure(failure);
            return;
        }
        unwrittenBytes = 0;
        Runnable waiting = onDrained;
        onDrained = null;
        if (waiting != null) {
            waiting.run();
        }
    }

    /**
     * Returns whether a sender should pause.
     *
     * @return {@code true} if the unwritten bytes exceed the high-water mark.
     */
    public boolean isCongested() {
        return unwrittenBytes > HIGH_WATER_MARK_BYTES;
    }

    /**
     * Returns whether all bytes were passed to the operating system.
     *
     * @return {@code true} if no bytes are unwritten.
     */
    public boolean isDrained() {
        return unwrittenBytes == 0;
    }

    /**
     * Runs an action once all bytes were passed to the operating system; immediately if none are
     * unwritten. A later action replaces a pending one.
     *
     * @param action The action, which is dropped if the connection breaks first.
     */
    public void whenDrained(Runnable action) {
        if (isDrained()) {
            action.run();
        } else {
            onDrained = action;
        }
    }

    /** Closes the connection once all bytes were passed to the operating system. */
    public void closeWhenDrained() {
        whenDrained(this::close);
    }

    /** Closes the connection immediately. The listener receives no further events. */
    public void close() {
        if (!isClosed) {
            isClosed = true;
            socket.closeEx(new IOException("Connection was closed locally"));
            codec.releaseInbound();
            codec.releaseOutbound();
        }
    }

    /**
     * Returns whether this side closed the connection or it broke.
     *
     * @return {@code true} if closed.
     */
    public boolean isClosed() {
        return isClosed;
    }

    /** Receives messages and connection events. */
    public interface Listener {

        /** Called when bytes were received, before the messages that they complete. */
        default void onBytesReceived() {}

        /**
         * Called with a message or part of one.
         *
         * @param message The message, which is released when the call returns.
         */
        void onMessage(HttpObject message);

        /** Called when the peer closed its sending side in an orderly way. */
        void onEndOfStream();

        /**
         * Called after a connection broke and was closed.
         *
         * @param cause The read or write failure.
         */
        void onFailure(Exception cause);
    }
}
