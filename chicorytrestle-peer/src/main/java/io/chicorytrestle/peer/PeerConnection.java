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
 * Carries authenticated frames over one TCP connection. It is confined to the event loop's thread.
 */
final class PeerConnection {

    /** The most bytes of a frame's length. */
    private static final int MAXIMUM_LENGTH_BYTES = 5;

    /** The frames of the largest size that may wait to be written. */
    private static final int MAXIMUM_UNWRITTEN_FRAMES = 8;

    /** The socket. */
    private final ITcpSocket socket;

    /** The bounds. */
    private final PeerLimits limits;

    /** Takes what happens. */
    private final Listener listener;

    /** Takes the next frame. */
    private FrameHandler frameHandler;

    /** What both sides agreed on, or empty before. */
    private Optional<Handshake.Session> session = Optional.empty();

    /** The bytes that were handed to the socket and are not written yet. */
    private long unwrittenBytes;

    /** The questions that are being answered. */
    private int pendingRequests;

    /** Whether the connection was closed. */
    private boolean closed;

    /**
     * Creates a new connection.
     *
     * @param socket The socket.
     * @param limits The bounds.
     * @param listener Takes what happens.
     */
    private PeerConnection(ITcpSocket socket, PeerLimits limits, Listener listener) {
        this.socket = socket;
        this.limits = limits;
        this.listener = listener;
        this.frameHandler = frame -> {};
    }

    /**
     * Starts the side that connected.
     *
     * @param socket The socket.
     * @param limits The bounds.
     * @param listener Takes what happens.
     * @param handshake Proves the key.
     * @return The connection, which is not open yet.
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
     * Starts the side that was connected to.
     *
     * @param socket The socket.
     * @param limits The bounds.
     * @param listener Takes what happens.
     * @param handshake Proves the key.
     * @return The connection, which is not open yet.
     */
    static PeerConnection startServer(
            ITcpSocket socket, PeerLimits limits, Listener listener, Handshake.Server handshake) {
        PeerConnection connection = new PeerConnection(socket, limits, listener);
        connection.frameHandler =
                frame -> {
                    connection.writeFrame(handshake.respond(frame));
                    connection.frameHandler = proof -> connection.completeHandshake(handshake.finish(proof));
                };
        connection.readFrames();
        return connection;
    }

    /**
     * Sends an envelope over the open connection.
     *
     * @param envelope The encoded envelope.
     * @return {@code false} if the connection is not open, so that nothing was written.
     */
    boolean send(byte[] envelope) {
        if (closed || session.isEmpty()) {
            return false;
        }
        writeFrame(session.get().outbound().appendMac(envelope));
        return true;
    }

    /**
     * Returns {@code true} if both sides proved their key and the connection was not closed.
     *
     * @return {@code true} if envelopes can be sent.
     */
    boolean isOpen() {
        return !closed && session.isPresent();
    }

    /**
     * Returns {@code true} if the connection was closed.
     *
     * @return {@code true} if the connection was closed.
     */
    boolean isClosed() {
        return closed;
    }

    /**
     * Returns the other side.
     *
     * @return The other side, or empty before it proved its key.
     */
    Optional<InstanceIdentity> peer() {
        return session.map(Handshake.Session::peer);
    }

    /**
     * Counts a question that is being answered, or one less.
     *
     * @param change One more or one less.
     * @return The questions that are being answered.
     */
    int adjustPendingRequests(int change) {
        pendingRequests += change;
        return pendingRequests;
    }

    /**
     * Closes the connection.
     *
     * @param cause Why it is closed.
     */
    void close(Exception cause) {
        if (!closed) {
            closed = true;
            socket.closeEx(cause);
            listener.closed(this, cause);
        }
    }

    /** Reads frames until the connection is closed. */
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
     * Takes a frame.
     *
     * @param buffer The frame.
     * @throws PeerRejectedException If the frame is malformed or forged.
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
     * Opens the connection for envelopes.
     *
     * @param agreed What both sides agreed on.
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
     * Writes a frame with its length before it.
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

    /** Takes a frame. */
    @FunctionalInterface
    private interface FrameHandler {

        /**
         * Takes a frame.
         *
         * @param frame The frame.
         * @throws PeerRejectedException If the frame is malformed or forged.
         */
        void handle(byte[] frame) throws PeerRejectedException;
    }

    /** Takes what happens to a connection. */
    interface Listener {

        /**
         * Takes note of a connection over which envelopes can be sent.
         *
         * @param connection The connection.
         * @param peer The other side.
         */
        void opened(PeerConnection connection, InstanceIdentity peer);

        /**
         * Takes an envelope.
         *
         * @param connection The connection.
         * @param envelope The envelope.
         * @param bytes The bytes of its frame.
         * @throws PeerRejectedException If the envelope is malformed.
         */
        void received(PeerConnection connection, Envelope envelope, int bytes)
                throws PeerRejectedException;

        /**
         * Takes note of a connection that was closed.
         *
         * @param connection The connection.
         * @param cause Why it was closed.
         */
        void closed(PeerConnection connection, Exception cause);
    }
}
