package io.chicorytrestle.daemon.caller;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * Buffers the chunks of a streamed response until the caller's connection reads them, which it does
 * as fast as the caller reads. It is confined to its event loop.
 */
final class ResponseBodyChannel extends AbstractChannelSupplier<ByteBuf> {

    /** The maximum number of buffered bytes. */
    private final int maximumBufferedBytes;

    /** Called if the caller's connection closes before the end of the response. */
    private final Runnable disconnectListener;

    /** The buffered chunks, oldest first. */
    private final Deque<byte[]> chunks = new ArrayDeque<>();

    /** The number of buffered bytes. */
    private int bufferedBytes;

    /** The connection's pending read, or {@code null} if there is none. */
    private @Nullable SettablePromise<@Nullable ByteBuf> pendingRead;

    /** Whether the pending read is scheduled to be completed. */
    private boolean deliveryScheduled;

    /** Whether the last chunk was offered. */
    private boolean ended;

    /**
     * Creates a channel.
     *
     * @param maximumBufferedBytes The maximum number of buffered bytes.
     * @param disconnectListener Called if the caller's connection closes before the end of the
     *     response.
     */
    ResponseBodyChannel(int maximumBufferedBytes, Runnable disconnectListener) {
        this.maximumBufferedBytes = maximumBufferedBytes;
        this.disconnectListener = disconnectListener;
    }

    /**
     * Buffers a chunk. A single chunk may exceed the limit if the buffer is empty.
     *
     * @param chunk The bytes of the chunk.
     * @return {@code false} if the buffer is full, so that the response has to be aborted.
     */
    boolean offer(byte[] chunk) {
        if (isClosed()) {
            return true;
        }
        if (bufferedBytes > 0 && bufferedBytes + chunk.length > maximumBufferedBytes) {
            if (pendingRead == null) {
                return false;
            }
            deliver();
        }
        chunks.add(chunk);
        bufferedBytes += chunk.length;
        scheduleDelivery();
        return true;
    }

    /** Ends the response after the buffered chunks. */
    void end() {
        ended = true;
        scheduleDelivery();
    }

    /**
     * Completes the pending read after the other tasks of the event loop, so that chunks that
     * arrive together are written together.
     */
    private void scheduleDelivery() {
        if (pendingRead != null && !deliveryScheduled) {
            deliveryScheduled = true;
            reactor.postLast(this::deliver);
        }
    }

    /** Completes the pending read if there are buffered chunks or the response ended. */
    private void deliver() {
        deliveryScheduled = false;
        SettablePromise<@Nullable ByteBuf> read = pendingRead;
        if (read != null && (ended || !chunks.isEmpty())) {
            pendingRead = null;
            read.set(chunks.isEmpty() ? null : ByteBuf.wrapForReading(drainChunks()));
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
        SettablePromise<@Nullable ByteBuf> read = new SettablePromise<>();
        pendingRead = read;
        return read;
    }

    /**
     * Removes all chunks from the buffer.
     *
     * @return The concatenated chunks.
     */
    private byte[] drainChunks() {
        byte[] bytes = new byte[bufferedBytes];
        int position = 0;
        for (byte[] chunk : chunks) {
            System.arraycopy(chunk, 0, bytes, position, chunk.length);
            position += chunk.length;
        }
        chunks.clear();
        bufferedBytes = 0;
        return bytes;
    }

    @Override
    protected void onClosed(Exception exception) {
        chunks.clear();
        bufferedBytes = 0;
        SettablePromise<@Nullable ByteBuf> read = pendingRead;
        pendingRead = null;
        if (read != null) {
            read.trySetException(exception);
        }
        if (!ended) {
            disconnectListener.run();
        }
    }
}
