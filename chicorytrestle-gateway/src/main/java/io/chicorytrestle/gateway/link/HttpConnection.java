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
 * Carries HTTP messages over one connection. The socket belongs to the event loop; a codec turns
 * bytes into messages and back. It is confined to the event loop's thread.
 */
public final class HttpConnection {

    /** The unwritten bytes beyond which a sender should pause. */
    private static final int HIGH_WATER_MARK_BYTES = 65_536;

    /** The received messages beyond which no more bytes are read. */
    private static final int MAXIMUM_PENDING_MESSAGES = 256;

    /** The socket. */
    private final ITcpSocket socket;

    /** Turns bytes into messages and back. */
    private final EmbeddedChannel codec;

    /** Takes what happens. */
    private final Listener listener;

    /** Called once the unwritten bytes were written, or null if nobody waits. */
    private @Nullable Runnable onDrained;

    /** The bytes handed to the socket that are not written yet. */
    private int unwrittenBytes;

    /** Whether a read is under way. */
    private boolean isReading;

    /** Whether received messages are held back. */
    private boolean isDeliverySuspended;

    /** Whether no more bytes are read for now. */
    private boolean isReadingPaused;

    /** Whether the other side ended its stream. */
    private boolean isInputEnded;

    /** Whether the connection was closed. */
    private boolean isClosed;

    /**
     * Creates a new link.
     *
     * @param socket The socket.
     * @param listener Takes what happens.
     * @param handlers The codec.
     */
    private HttpConnection(ITcpSocket socket, Listener listener, ChannelHandler... handlers) {
        this.socket = socket;
        this.listener = listener;
        codec = new EmbeddedChannel();
        codec.config().setAllocator(new UnpooledByteBufAllocator(false, true));
        codec.pipeline().addLast(handlers);
    }

    /**
     * Returns a new link, which does not read yet.
     *
     * @param socket The socket.
     * @param listener Takes what happens.
     * @param handlers The codec.
     * @return A new link.
     */
    public static HttpConnection of(
            ITcpSocket socket, Listener listener, ChannelHandler... handlers) {
        return new HttpConnection(socket, listener, handlers);
    }

    /** Reads bytes until the connection ends or {@link #pauseReading()} is called. */
    public void startReading() {
        if (isReading || isReadingPaused || isInputEnded || isClosed) {
            return;
        }
        isReading = true;
        socket.read()
                .whenComplete(
                        (buffer, failure) -> {
                            isReading = false;
                            handleRead(buffer, failure);
                        });
    }

    /**
     * Takes the outcome of a read.
     *
     * @param buffer The bytes, or null at the end of the stream.
     * @param failure Why the read failed, or null if it did not.
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
        codec.writeInbound(Unpooled.wrappedBuffer(buffer.asArray()));
        deliverMessages();
        if (codec.inboundMessages().size() < MAXIMUM_PENDING_MESSAGES) {
            startReading();
        }
    }

    /** Hands received messages to the listener. */
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

    /** Holds received messages back, while bytes are still read so that the end is noticed. */
    public void suspendDelivery() {
        isDeliverySuspended = true;
    }

    /** Delivers messages again. */
    public void resumeDelivery() {
        isDeliverySuspended = false;
        deliverMessages();
        startReading();
    }

    /**
     * Returns {@code true} if messages or part of one were received that were not delivered.
     *
     * @return {@code true} if something waits to be delivered.
     */
    public boolean hasUndelivered() {
        return !codec.inboundMessages().isEmpty();
    }

    /** Reads no more bytes for now. */
    public void pauseReading() {
        isReadingPaused = true;
    }

    /** Reads bytes again. */
    public void resumeReading() {
        isReadingPaused = false;
        startReading();
    }

    /**
     * Writes messages.
     *
     * @param messages The messages in order.
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
     * Takes the outcome of a write.
     *
     * @param failure Why the write failed, or null if it did not.
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
     * Returns {@code true} if a sender should pause.
     *
     * @return {@code true} if many bytes are not written yet.
     */
    public boolean isCongested() {
        return unwrittenBytes > HIGH_WATER_MARK_BYTES;
    }

    /**
     * Returns {@code true} if all bytes were handed to the operating system.
     *
     * @return {@code true} if all bytes were handed to the operating system.
     */
    public boolean isDrained() {
        return unwrittenBytes == 0;
    }

    /**
     * Calls an action once all bytes were handed to the operating system.
     *
     * @param action The action, which is not called if the connection breaks before.
     */
    public void whenDrained(Runnable action) {
        if (isDrained()) {
            action.run();
        } else {
            onDrained = action;
        }
    }

    /** Closes the connection once all bytes were handed to the operating system. */
    public void closeWhenDrained() {
        whenDrained(this::close);
    }

    /** Closes the connection at once. The listener hears nothing more. */
    public void close() {
        if (!isClosed) {
            isClosed = true;
            socket.closeEx(new IOException("Connection was closed by this side"));
            codec.releaseInbound();
            codec.releaseOutbound();
        }
    }

    /**
     * Returns {@code true} if the connection was closed.
     *
     * @return {@code true} if the connection was closed.
     */
    public boolean isClosed() {
        return isClosed;
    }

    /** Takes what happens to a link. */
    public interface Listener {

        /** Takes note of bytes, before the messages that they complete. */
        default void onBytesReceived() {}

        /**
         * Takes a message or part of one.
         *
         * @param message The message, which is released after the call.
         */
        void onMessage(HttpObject message);

        /** Takes note of the orderly end of the other side's stream. */
        void onEndOfStream();

        /**
         * Takes note of a connection that broke and was closed.
         *
         * @param cause Why it broke.
         */
        void onFailure(Exception cause);
    }
}
