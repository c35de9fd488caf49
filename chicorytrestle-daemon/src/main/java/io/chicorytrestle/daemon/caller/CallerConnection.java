package io.chicorytrestle.daemon.caller;

import io.activej.async.exception.AsyncCloseException;
import io.activej.net.socket.tcp.TcpSocket;
import org.jspecify.annotations.Nullable;

/** Follows one connection of a caller. It is confined to its event loop. */
final class CallerConnection {

    /** Marks that no time limit runs. */
    private static final long NO_DEADLINE = Long.MAX_VALUE;

    /** The socket of the connection. */
    private final TcpSocket socket;

    /** The time by which the present request has to be received, or {@link #NO_DEADLINE}. */
    private long deadlineMillis;

    /** Called once if the caller leaves, or {@code null} if nobody waits for that. */
    private @Nullable Runnable disconnectListener;

    /** Called once when the present request's answer is done, or {@code null} if there is none. */
    private @Nullable Runnable completionListener;

    /**
     * Creates a new connection.
     *
     * @param socket The socket of the connection.
     * @param limitMillis The time by which the first request has to begin, in milliseconds.
     */
    CallerConnection(TcpSocket socket, long limitMillis) {
        this.socket = socket;
        this.deadlineMillis = limitMillis;
    }

    /**
     * Sets the time by which the next step of the caller has to be done.
     *
     * @param limitMillis The time in milliseconds.
     */
    void setDeadline(long limitMillis) {
        this.deadlineMillis = limitMillis;
    }

    /** Notes that the whole request was received. */
    void onRequestReceived() {
        deadlineMillis = NO_DEADLINE;
    }

    /**
     * Watches for the caller's leaving until the answer is done.
     *
     * <p>Nothing else reads the socket while a request is served. The server's own next read takes
     * this one's place. A caller that sends more before its answer is whole is taken to have left.
     *
     * @param action Called once if the caller leaves.
     */
    void watchForDisconnect(Runnable action) {
        disconnectListener = action;
        socket.read()
                .subscribe(
                        (buf, exception) -> {
                            if (buf != null) {
                                buf.recycle();
                            }
                            handleDisconnect();
                        });
    }

    /**
     * Notes that a request started.
     *
     * @param action Called once when the answer was sent or the connection closed.
     */
    void onRequestStarted(Runnable action) {
        completionListener = action;
    }

    /** Notes that the answer was sent, so that the caller may leave. */
    void onResponseSent() {
        disconnectListener = null;
        notifyCompletion();
    }

    /** Notes that the connection closed. */
    void onDisconnect() {
        handleDisconnect();
        notifyCompletion();
    }

    /** Tells who counts requests that this one is done. */
    private void notifyCompletion() {
        Runnable action = completionListener;
        completionListener = null;
        if (action != null) {
            action.run();
        }
    }

    /** Tells who waits for the answer that the caller left. */
    void handleDisconnect() {
        Runnable action = disconnectListener;
        disconnectListener = null;
        if (action != null) {
            action.run();
            close("Cannot answer caller that left");
        }
    }

    /**
     * Closes the connection if its caller is too slow.
     *
     * @param nowMillis The present time in milliseconds.
     */
    void closeIfExpired(long nowMillis) {
        if (nowMillis >= deadlineMillis) {
            close("Cannot await slow caller");
        }
    }

    /**
     * Closes the connection.
     *
     * @param reason Why.
     */
    void close(String reason) {
        socket.closeEx(new AsyncCloseException(reason));
    }
}
