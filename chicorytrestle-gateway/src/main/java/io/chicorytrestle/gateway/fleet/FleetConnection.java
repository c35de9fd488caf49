package io.chicorytrestle.gateway.fleet;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import io.activej.csp.binary.BinaryChannelSupplier;
import io.activej.csp.binary.decoder.ByteBufsDecoders;
import io.activej.csp.consumer.ChannelConsumers;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.net.socket.tcp.ITcpSocket;
import java.io.EOFException;
import java.io.IOException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Sends and receives length-prefixed messages on one connection. It is confined to the event loop's
 * thread.
 */
final class FleetConnection {

    /** The maximum size of a frame in bytes: a value of the store, with room for the endpoints. */
    static final int MAXIMUM_FRAME_BYTES = 2_097_152;

    /**
     * The longest time in milliseconds for which writes may be pending, enough for a routing table
     * on a slow network.
     */
    private static final long WRITE_TIMEOUT_MILLIS = 800;

    /**
     * The longest time in milliseconds for which a peer may leave messages unacknowledged. Beyond
     * it the connection has gone silent: writes still succeed, since the operating system buffers
     * them.
     */
    private static final long SILENCE_TIMEOUT_MILLIS = 1_000;

    /** The encoded acknowledgement, which is sent for each message. */
    private static final byte[] ACKNOWLEDGEMENT = FleetCodec.encode(Acknowledgement.INSTANCE);

    /** The maximum size in bytes of a frame's length prefix. */
    private static final int MAXIMUM_LENGTH_BYTES = 5;

    /** The connected socket. */
    private final ITcpSocket socket;

    /** Supplies the current time in milliseconds. */
    private final LongSupplier clock;

    /** Receives the decoded messages, except acknowledgements. */
    private final BiConsumer<FleetConnection, FleetMessage> receiver;

    /** Called once when the connection is closed. */
    private final Consumer<FleetConnection> closeListener;

    /** The number of messages that are not written yet. */
    private int pendingWrites;

    /** The time in milliseconds since which writes are pending without a break. */
    private long pendingSinceMillis;

    /** The time in milliseconds since which a message is unacknowledged; negative if none. */
    private long unansweredSinceMillis = -1;

    /** The time in milliseconds of the last message that was received. */
    private long receivedMillis;

    /** Whether the connection was closed; later messages are dropped. */
    private boolean isClosed;

    /**
     * Creates a connection on an open socket and starts to read.
     *
     * @param socket The connected socket.
     * @param clock Supplies the current time in milliseconds.
     * @param receiver Receives the decoded messages, except acknowledgements.
     * @param closeListener Called once when the connection is closed.
     */
    FleetConnection(
            ITcpSocket socket,
            LongSupplier clock,
            BiConsumer<FleetConnection, FleetMessage> receiver,
            Consumer<FleetConnection> closeListener) {
        this.socket = socket;
        this.clock = clock;
        this.receiver = receiver;
        receivedMillis = clock.getAsLong();
        this.closeListener = closeListener;
        BinaryChannelSupplier.of(ChannelSuppliers.ofSocket(socket))
                .decodeStream(ByteBufsDecoders.ofVarIntSizePrefixedBytes(MAXIMUM_FRAME_BYTES))
                .streamTo(ChannelConsumers.ofConsumer(this::receive))
                .whenComplete(
                        (ignored, failure) ->
                                close(
                                        failure == null
                                                ? new EOFException("Peer closed the connection")
                                                : failure));
    }

    /**
     * Decodes a frame and delivers the message.
     *
     * @param buffer The frame without its length prefix.
     * @throws IOException If the message is malformed.
     */
    private void receive(ByteBuf buffer) throws IOException {
        byte[] frame = buffer.asArray();
        if (isClosed) {
            return;
        }
        unansweredSinceMillis = -1;
        receivedMillis = clock.getAsLong();
        FleetMessage message = FleetCodec.decode(frame);
        if (message == Acknowledgement.INSTANCE) {
            return;
        }
        // A snapshot and a reply are themselves the answers to requests.
        if (!(message instanceof Snapshot || message instanceof StreamReply)) {
            write(ACKNOWLEDGEMENT, receivedMillis);
        }
        receiver.accept(this, message);
    }

    /**
     * Sends a message. It is dropped if the connection was closed.
     *
     * @param message The encoded message.
     * @param nowMillis The current time in milliseconds.
     */
    void send(byte[] message, long nowMillis) {
        if (unansweredSinceMillis < 0) {
            unansweredSinceMillis = nowMillis;
        }
        write(message, nowMillis);
    }

    /**
     * Writes a message with its length prefix, unless the connection was closed.
     *
     * @param message The encoded message.
     * @param nowMillis The current time in milliseconds.
     */
    private void write(byte[] message, long nowMillis) {
        if (isClosed) {
            return;
        }
        ByteBuf buffer = ByteBufPool.allocate(message.length + MAXIMUM_LENGTH_BYTES);
        buffer.writeVarInt(message.length);
        buffer.put(message);
        if (pendingWrites == 0) {
            pendingSinceMillis = nowMillis;
        }
        pendingWrites++;
        socket.write(buffer).whenComplete(ignored -> pendingWrites--, this::close);
    }

    /**
     * Returns {@code true} if writes have been pending for too long.
     *
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the peer does not read or is unreachable.
     */
    boolean isWriteTimedOut(long nowMillis) {
        return pendingWrites > 0 && nowMillis - pendingSinceMillis > WRITE_TIMEOUT_MILLIS;
    }

    /**
     * Returns {@code true} if the peer has left messages unacknowledged for too long. Only the side
     * that opened the connection can tell, since snapshots are not acknowledged.
     *
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the connection has gone silent.
     */
    boolean isSilent(long nowMillis) {
        return unansweredSinceMillis >= 0
                && nowMillis - unansweredSinceMillis > SILENCE_TIMEOUT_MILLIS;
    }

    /**
     * Returns {@code true} if nothing was received for some time.
     *
     * @param nowMillis The current time in milliseconds.
     * @param idleMillis That time in milliseconds.
     * @return {@code true} if the peer has probably replaced the connection.
     */
    boolean isIdle(long nowMillis, long idleMillis) {
        return nowMillis - receivedMillis > idleMillis;
    }

    /**
     * Closes the connection and calls the listener, unless it was closed before.
     *
     * @param cause The reason, which fails pending reads and writes.
     */
    void close(Exception cause) {
        if (!isClosed) {
            isClosed = true;
            socket.closeEx(cause);
            closeListener.accept(this);
        }
    }
}
