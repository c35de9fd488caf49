package io.chicorytrestle.gateway.link;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/**
 * Sends and receives HTTP messages over one socket. The event loop does the socket's I/O; a Netty
 * codec in an embedded channel converts between bytes and messages. Confined to the event loop
 * thread.
 */
public final class HttpConnection {

    /** The number of unwritten bytes above which a sender should pause. */
    private static final int HIGH_WATER_MARK_BYTES = 65_536;

    /**
     * The number of messages that are delivered in one turn of the event loop, so that a peer that
     * sends very small ones leaves time to other connections. Usual peers send fewer in one read.
     */
    private static final int MAXIMUM_MESSAGES_PER_TURN = 256;

    /** The event loop. */
    private final Reactor reactor = Reactor.getCurrentReactor();

    /** The socket. */
    private final ITcpSocket socket;

    /** Decodes received bytes and encodes messages to send. */
    private final EmbeddedChannel codec;

    /** Receives messages and connection events. */
    private final Listener listener;

    /** Run once when all bytes have been written, or null. */
    private @Nullable Runnable onDrained;

    /** What was received and not delivered yet. */
    private final IncomingMessages incoming;

    /** The encoded messages that are passed to the socket at the end of the turn. */
    private final OutgoingBytes outgoing = new OutgoingBytes();

    /** The bytes encoded and not written yet. */
    private int unwrittenBytes;

    /** Whether a write is in progress. */
    private boolean isWriting;

    /** Whether a read is in progress. */
    private boolean isReading;

    /** Whether a read has ended. */
    private boolean hasRead;

    /** Whether received bytes are being decoded and delivered. */
    private boolean isDelivering;

    /** Whether the delivery goes on in the next turn of the event loop. */
    private boolean isTurnAwaited;

    /** Whether reading from the socket is paused. */
    private boolean isReadingPaused;

    /** Whether the listener was told that the peer closed its sending side. */
    private boolean isEndReported;

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
        incoming = new IncomingMessages(codec);
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
        if (isReading
                || isReadingPaused
                || incoming.isEnded()
                || isClosed
                || isDelivering
                || isTurnAwaited
                || incoming.forbidsReading()) {
            return;
        }
        isReading = true;
        Promise<ByteBuf> read = socket.read();
        if (read.isComplete() && hasRead) {
            // The bytes belong to the share of the next turn.
            reactor.postNext(() -> read.whenComplete(this::completeRead));
        } else {
            read.whenComplete(this::completeRead);
        }
    }

    /**
     * Ends a read and handles its outcome.
     *
     * @param buffer The bytes, or null at the end of the stream.
     * @param failure The failure, or null if the read succeeded.
     */
    private void completeRead(@Nullable ByteBuf buffer, @Nullable Exception failure) {
        isReading = false;
        hasRead = true;
        failOnUnexpectedError(() -> handleRead(buffer, failure));
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
            incoming.end();
        } else {
            incoming.add(buffer.asArray());
            listener.onBytesReceived();
        }
        deliver();
    }

    /**
     * Decodes and delivers what was received, and reads on. What exceeds the share of this turn of
     * the event loop follows in the next one.
     */
    private void deliver() {
        if (isDelivering || isTurnAwaited || isClosed) {
            return;
        }
        isDelivering = true;
        boolean isFinished;
        try {
            isFinished = deliverShare();
        } finally {
            isDelivering = false;
        }
        if (isClosed) {
            return;
        }
        listener.onDelivered();
        if (isClosed) {
            return;
        }
        if (!isFinished) {
            isTurnAwaited = true;
            reactor.postNext(
                    () -> {
                        isTurnAwaited = false;
                        failOnUnexpectedError(this::deliver);
                    });
        } else if (incoming.isEnded() && !isEndReported) {
            isEndReported = true;
            listener.onEndOfStream();
        } else {
            startReading();
        }
    }

    /**
     * Decodes and delivers messages until the share of a turn is used up, delivery is suspended or
     * the connection is closed.
     *
     * @return {@code false} if the share is used up.
     */
    private boolean deliverShare() {
        int messages = 0;
        while (!isClosed) {
            if (messages == MAXIMUM_MESSAGES_PER_TURN) {
                return false;
            }
            HttpObject message = incoming.next();
            if (message != null) {
                messages++;
                try {
                    listener.onMessage(message);
                } finally {
                    ReferenceCountUtil.release(message);
                }
            } else if (!incoming.decode()) {
                return true;
            }
        }
        return true;
    }

    /**
     * Suspends delivery of messages. Bytes are still read, so that the end of the stream is
     * detected.
     */
    public void suspendDelivery() {
        incoming.setSuspended(true);
    }

    /** Resumes delivery, beginning with the messages received in the meantime. */
    public void resumeDelivery() {
        incoming.setSuspended(false);
        failOnUnexpectedError(this::deliver);
    }

    /**
     * Returns whether messages or received bytes have not been delivered yet.
     *
     * @return {@code true} if at least one decoded message or one undecoded byte is pending.
     */
    public boolean hasUndelivered() {
        return incoming.isPending();
    }

    /**
     * Returns the memory of what was received and not delivered yet.
     *
     * @return The number of bytes, roughly.
     */
    public int undeliveredBytes() {
        return incoming.costBytes();
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
     * Encodes messages and writes them in order, together with others of this turn of the event
     * loop. Messages for a closed connection are released.
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
        boolean isFirst = outgoing.size() == 0;
        unwrittenBytes += outgoing.add(codec);
        if (isFirst && outgoing.size() > 0) {
            reactor.postLast(this::flush);
        }
    }

    /**
     * Passes encoded messages to the socket, unless the connection was closed. Others follow once
     * these were taken, so that what is unread is neither copied nor joined.
     */
    private void flush() {
        if (!isClosed && !isWriting && outgoing.size() > 0) {
            isWriting = true;
            ByteBuf bytes = outgoing.take(HIGH_WATER_MARK_BYTES);
            int size = bytes.readRemaining();
            socket.write(bytes).whenComplete((ignored, failure) -> handleWritten(size, failure));
        }
    }

    /**
     * Handles the outcome of a write.
     *
     * @param size The number of bytes.
     * @param failure The failure, or null if the write succeeded.
     */
    private void handleWritten(int size, @Nullable Exception failure) {
        isWriting = false;
        if (isClosed) {
            return;
        }
        if (failure != null) {
            close();
            listener.onFailure(failure);
            return;
        }
        unwrittenBytes -= size;
        listener.onBytesWritten(size);
        if (!isDrained()) {
            reactor.postLast(this::flush);
            return;
        }
        Runnable waiting = onDrained;
        onDrained = null;
        if (waiting != null) {
            waiting.run();
        }
    }

    /**
     * Returns the number of bytes that were not passed to the operating system.
     *
     * @return The number of bytes.
     */
    public int unwrittenBytes() {
        return unwrittenBytes;
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

    /**
     * Returns whether the peer reset the connection, also if that followed its orderly end.
     *
     * @return {@code true} if the connection is known to be reset.
     */
    public boolean isReset() {
        return socket instanceof TcpSocket tcp && ResetDetector.isReset(tcp.getSocketChannel());
    }

    /** Closes the connection once all bytes were passed to the operating system. */
    public void closeWhenDrained() {
        whenDrained(this::close);
    }

    /** Closes the connection immediately. The listener receives no further events. */
    public void close() {
        if (!isClosed) {
            isClosed = true;
            if (outgoing.size() > 0) {
                socket.write(outgoing.take(Integer.MAX_VALUE));
            }
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

        /** Called when received bytes were decoded and the messages of a turn delivered. */
        default void onDelivered() {}

        /**
         * Called when bytes were passed to the operating system.
         *
         * @param size The number of bytes.
         */
        default void onBytesWritten(int size) {}

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
