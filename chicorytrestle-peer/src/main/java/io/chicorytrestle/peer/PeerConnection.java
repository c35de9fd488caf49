package io.chicorytrestle.peer;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import io.activej.csp.binary.BinaryChannelSupplier;
import io.activej.csp.binary.decoder.ByteBufsDecoders;
import io.activej.csp.consumer.ChannelConsumers;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.net.socket.tcp.ITcpSocket;
import io.chicorytrestle.core.identity.InstanceIdentity;
import java.io.EOFException;
import java.util.Optional;

/**
 * A TCP connection that carries length-prefixed frames, which are authenticated once the handshake
 * is complete. Confined to the event loop's thread.
 */
final class PeerConnection {

    /** The maximum size of a frame's length prefix, a 32-bit integer as a varint. */
    private static final int MAXIMUM_LENGTH_BYTES = 5;

    /**
     * The limit of the unwritten bytes, in frames of the maximum size. A peer that reads more
     * slowly is disconnected.
     */
    private static final int MAXIMUM_UNWRITTEN_FRAMES = 8;

    /** The underlying TCP socket. */
    private final ITcpSocket socket;

    /** The limits of the channel, such as the maximum frame size. */
    private final PeerLimits limits;

    /** The listener for the events of this connection. */
    private final Listener listener;

    /** The handler of the next frame, which is replaced as the handshake proceeds. */
    private FrameHandler frameHandler;

    /** The session that the handshake agreed on, or empty until it is complete. */
    private Optional<Handshake.Session> session = Optional.empty();

    /** The number of bytes that were handed to the socket and aren't written yet. */
    private long unwrittenBytes;

    /** The number of received requests that have no reply yet. */
    private int pendingRequests;

    /** Whether this connection is closed; it never reopens. */
    private boolean closed;

    /**
     * Creates a new connection that ignores frames until a handshake is started.
     *
     * @param socket The connected socket.
     * @param limits The limits of the channel.
     * @param listener The listener for the events of this connection.
     */
    private PeerConnection(ITcpSocket socket, PeerLimits limits, Listener listener) {
        this.socket = socket;
        this.limits = limits;
        this.listener = listener;
        this.frameHandler = frame -> {};
    }

    /**
     * Starts the handshake as the instance that opened the connection.
     *
     * @param socket The connected socket.
     * @param limits The limits of the channel.
     * @param listener The listener for the events of this connection.
     * @param handshake The client side of the handshake.
     * @return The connection, which is open only once the handshake is complete.
     */
    static PeerConnection startClient(
            ITcpSocket socket, PeerLimits limits, Listener listener, Handshake.Client handshake) {
        PeerConnection connection = new PeerConnection(socket, limits, listener);
        connection.frameHandler =
                frame -> {
                    Handshake.Session agreed = handshake.finish(frame);
                    connection.writeFrame(agreed.lastFrame());
                    connection.completeHandshake(agreed);
                };
        connection.writeFrame(handshake.hello());
        connection.readFrames();
        return connection;
    }

    /**
     * Starts the handshake as the instance that accepted the connection.
     *
     * @param socket The accepted socket.
     * @param limits The limits of the channel.
     * @param listener The listener for the events of this connection.
     * @param handshake The server side of the handshake.
     * @return The connection, which is open only once the handshake is complete.
     */
    static PeerConnection startServer(
            ITcpSocket socket, PeerLimits limits, Listener listener, Handshake.Server handshake) {
        PeerConnection connection = new PeerConnection(socket, limits, listener);
        connection.frameHandler =
                frame -> {
                    connection.writeFrame(handshake.respond(frame));
                    connection.frameHandler =
                            proof -> connection.completeHandshake(handshake.finish(proof));
                };
        connection.readFrames();
        return connection;
    }

    /**
     * Sends an envelope in an authenticated frame.
     *
     * @param envelope The encoded envelope.
     * @return {@code false} if the connection isn't open, in which case nothing was written.
     */
    boolean send(byte[] envelope) {
        if (closed || session.isEmpty()) {
            return false;
        }
        writeFrame(session.get().outbound().appendMac(envelope));
        return true;
    }

    /**
     * Returns {@code true} if the handshake is complete and the connection isn't closed.
     *
     * @return {@code true} if envelopes can be sent.
     */
    boolean isOpen() {
        return !closed && session.isPresent();
    }

    /**
     * Returns {@code true} if the connection is closed, whether or not it was ever open.
     *
     * @return {@code true} if the connection is closed.
     */
    boolean isClosed() {
        return closed;
    }

    /**
     * Returns the authenticated peer.
     *
     * @return The peer's identity, or empty until the handshake is complete.
     */
    Optional<InstanceIdentity> peer() {
        return session.map(Handshake.Session::peer);
    }

    /**
     * Changes the number of pending requests.
     *
     * @param change The number to add: one for a new request, minus one after its reply, zero to
     *     read.
     * @return The number of received requests that have no reply yet.
     */
    int adjustPendingRequests(int change) {
        pendingRequests += change;
        return pendingRequests;
    }

    /**
     * Closes the connection and notifies the listener. Does nothing if it is closed already.
     *
     * @param cause The reason, which is passed to the listener.
     */
    void close(Exception cause) {
        if (!closed) {
            closed = true;
            socket.closeEx(cause);
            listener.closed(this, cause);
        }
    }

    /** Reads frames until the connection is closed by either side. */
    private void readFrames() {
        BinaryChannelSupplier.of(ChannelSuppliers.ofSocket(socket))
                .decodeStream(
                        ByteBufsDecoders.ofVarIntSizePrefixedBytes(limits.maximumFrameBytes()))
                .streamTo(ChannelConsumers.ofConsumer(this::receiveFrame))
                .whenComplete(
                        (ignored, failure) ->
                                close(
                                        failure == null
                                                ? new EOFException("Cannot read more")
                                                : failure));
    }

    /**
     * Handles a frame, whose size is limited more strictly during the handshake.
     *
     * @param buffer The frame without its length prefix.
     * @throws PeerRejectedException If the frame is too long, malformed or not authentic.
     */
    private void receiveFrame(ByteBuf buffer) throws PeerRejectedException {
        byte[] frame = buffer.asArray();
        if (closed) {
            return;
        }
        if (session.isEmpty() && frame.length > Handshake.MAXIMUM_FRAME_BYTES) {
            throw new PeerRejectedException("Cannot read long hello of bytes: " + frame.length);
        }
        frameHandler.handle(frame);
    }

    /**
     * Completes the handshake, after which the connection carries envelopes.
     *
     * @param agreed The session that the handshake agreed on.
     */
    private void completeHandshake(Handshake.Session agreed) {
        session = Optional.of(agreed);
        frameHandler =
                frame -> {
                    byte[] content = agreed.inbound().verifyMac(frame);
                    listener.received(
                            this,
                            FrameCodec.INSTANCE.decode(content, Envelope.class),
                            FrameCodec.INSTANCE.frameBytes(content.length));
                };
        listener.opened(this, agreed.peer());
    }

    /**
     * Writes a frame with a length prefix, or closes the connection if too many bytes are
     * unwritten.
     *
     * @param frame The frame.
     */
    private void writeFrame(byte[] frame) {
        if (closed) {
            return;
        }
        unwrittenBytes += frame.length;
        if (unwrittenBytes > (long) MAXIMUM_UNWRITTEN_FRAMES * limits.maximumFrameBytes()) {
            close(new PeerRejectedException("Cannot wait for slow peer"));
            return;
        }
        ByteBuf buffer = ByteBufPool.allocate(frame.length + MAXIMUM_LENGTH_BYTES);
        buffer.writeVarInt(frame.length);
        buffer.put(frame);
        socket.write(buffer).whenComplete(ignored -> unwrittenBytes = 0, this::close);
    }

    /** Handles the frames of one phase of the connection. */
    @FunctionalInterface
    private interface FrameHandler {

        /**
         * Handles a frame.
         *
         * @param frame The frame without its length prefix.
         * @throws PeerRejectedException If the frame is malformed or not authentic.
         */
        void handle(byte[] frame) throws PeerRejectedException;
    }

    /** Receives the events of a connection, on the event loop's thread. */
    interface Listener {

        /**
         * Called when the handshake is complete, so that envelopes can be sent.
         *
         * @param connection The connection.
         * @param peer The authenticated peer.
         */
        void opened(PeerConnection connection, InstanceIdentity peer);

        /**
         * Called for each envelope received.
         *
         * @param connection The connection.
         * @param envelope The envelope.
         * @param bytes The size of its frame in bytes, with length prefix and MAC.
         * @throws PeerRejectedException If the envelope is malformed, which closes the connection.
         */
        void received(PeerConnection connection, Envelope envelope, int bytes)
                throws PeerRejectedException;

        /**
         * Called once when the connection is closed, also if the handshake never completed.
         *
         * @param connection The connection.
         * @param cause The reason for closing.
         */
        void closed(PeerConnection connection, Exception cause);
    }
}
