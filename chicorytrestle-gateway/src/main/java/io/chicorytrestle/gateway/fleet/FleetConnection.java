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

/** Carries framed messages over one connection. It is confined to the event loop's thread. */
final class FleetConnection {

    /** The most bytes of a frame: a value of the store with room for the endpoints. */
    private static final int MAXIMUM_FRAME_BYTES = 2_097_152;

    /**
     * The longest time in milliseconds for which messages may wait: a routing table on a slow link.
     */
    private static final long WRITE_TIMEOUT_MILLIS = 800;

    /** The most bytes of a frame's length. */
    private static final int MAXIMUM_LENGTH_BYTES = 5;

    /** The socket. */
    private final ITcpSocket socket;

    /** Takes messages. */
    private final BiConsumer<FleetConnection, FleetMessage> receiver;

    /** Called when the connection is closed. */
    private final Consumer<FleetConnection> closeListener;

    /** The messages that wait to be written. */
    private int pendingWrites;

    /** The time in milliseconds since which messages wait. */
    private long pendingSinceMillis;

    /** Whether the connection was closed. */
    private boolean isClosed;

    /**
     * Creates a new link and starts to read.
     *
     * @param socket The socket.
     * @param receiver Takes messages.
     * @param closing Called when the connection is closed.
     */
    FleetConnection(
            ITcpSocket socket,
            BiConsumer<FleetConnection, FleetMessage> receiver,
            Consumer<FleetConnection> closing) {
        this.socket = socket;
        this.receiver = receiver;
        this.closeListener = closing;
        BinaryChannelSupplier.of(ChannelSuppliers.ofSocket(socket))
                .decodeStream(ByteBufsDecoders.ofVarIntSizePrefixedBytes(MAXIMUM_FRAME_BYTES))
                .streamTo(ChannelConsumers.ofConsumer(this::receive))
                .whenComplete(
                        (ignored, failure) ->
                                close(failure == null ? new EOFException("Peer ended") : failure));
    }

    /**
     * Takes a frame.
     *
     * @param buffer The frame.
     * @throws IOException If the message is malformed.
     */
    private void receive(ByteBuf buffer) throws IOException {
        byte[] frame = buffer.asArray();
        if (!isClosed) {
            receiver.accept(this, FleetCodec.decode(frame));
        }
    }

    /**
     * Sends a message.
     *
     * @param message The encoded message.
     * @param nowMillis The present time in milliseconds.
     */
    void send(byte[] message, long nowMillis) {
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
     * Returns {@code true} if messages have waited for too long.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the peer does not read or is out of reach.
     */
    boolean isWriteTimedOut(long nowMillis) {
        return pendingWrites > 0 && nowMillis - pendingSinceMillis > WRITE_TIMEOUT_MILLIS;
    }

    /**
     * Closes the connection.
     *
     * @param cause Why.
     */
    void close(Exception cause) {
        if (!isClosed) {
            isClosed = true;
            socket.closeEx(cause);
            closeListener.accept(this);
        }
    }
}
