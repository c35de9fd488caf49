package io.chicorytrestle.daemon.caller;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * Hands the pieces of an answer to its caller's connection, which takes them as fast as the caller
 * reads. It is confined to its event loop.
 */
final class ResponseBodyChannel extends AbstractChannelSupplier<ByteBuf> {

    /** The most bytes that wait. */
    private final int maximumBufferedBytes;

    /** Called if the caller's connection closes before the end. */
    private final Runnable disconnectListener;

    /** The pieces that wait, oldest first. */
    private final Deque<byte[]> chunks = new ArrayDeque<>();

    /** The bytes that wait. */
    private int bufferedBytes;

    /** The connection's wish for a piece, if none waits. */
    private @Nullable SettablePromise<@Nullable ByteBuf> pendingRead;

    /** Whether the wish is about to be granted. */
    private boolean deliveryScheduled;

    /** Whether the last piece was offered. */
    private boolean ended;

    /**
     * Creates a new channel.
     *
     * @param maximumBytes The most bytes that wait.
     * @param onAbandoned Called if the caller's connection closes before the end.
     */
    ResponseBodyChannel(int maximumBytes, Runnable onAbandoned) {
        this.maximumBufferedBytes = maximumBytes;
        this.disconnectListener = onAbandoned;
    }

    /**
     * Offers a piece.
     *
     * @param piece The bytes.
     * @return {@code false} if too many bytes wait, so that the answer has to be given up.
     */
    boolean offer(byte[] piece) {
        if (isClosed()) {
            return true;
        }
        if (bufferedBytes > 0 && bufferedBytes + piece.length > maximumBufferedBytes) {
            if (pendingRead == null) {
                return false;
            }
            deliver();
        }
        chunks.add(piece);
        bufferedBytes += piece.length;
        scheduleDelivery();
        return true;
    }

    /** Ends the answer after the pieces that wait. */
    void end() {
        ended = true;
        scheduleDelivery();
    }

    /**
     * Grants the connection's wish once the event loop has done what is at hand, so that pieces
     * that arrive together are written together.
     */
    private void scheduleDelivery() {
        if (pendingRead != null && !deliveryScheduled) {
            deliveryScheduled = true;
            reactor.postLast(this::deliver);
        }
    }

    /** Grants the connection's wish, if there is one and something to grant. */
    private void deliver() {
        deliveryScheduled = false;
        SettablePromise<@Nullable ByteBuf> waiting = pendingRead;
        if (waiting != null && (ended || !chunks.isEmpty())) {
            pendingRead = null;
            waiting.set(chunks.isEmpty() ? null : ByteBuf.wrapForReading(drainChunks()));
        }
    }

    @Override
    protected Promise<ByteBuf> doGet() {
        if (!chunks.isEmpty()) {
            return Promise.of(ByteBuf.wrapForReading(drainChunks()));
        }
        if (ended) {
            return Promise.of(null);
        }
        SettablePromise<@Nullable ByteBuf> waiting = new SettablePromise<>();
        pendingRead = waiting;
        return waiting;
    }

    /**
     * Takes all pieces that wait as one.
     *
     * @return The bytes.
     */
    private byte[] drainChunks() {
        byte[] bytes = new byte[bufferedBytes];
        int position = 0;
        for (byte[] piece : chunks) {
            System.arraycopy(piece, 0, bytes, position, piece.length);
            position += piece.length;
        }
        chunks.clear();
        bufferedBytes = 0;
        return bytes;
    }

    @Override
    protected void onClosed(Exception exception) {
        chunks.clear();
        bufferedBytes = 0;
        SettablePromise<@Nullable ByteBuf> waiting = pendingRead;
        pendingRead = null;
        if (waiting != null) {
            waiting.trySetException(exception);
        }
        if (!ended) {
            disconnectListener.run();
        }
    }
}
