package io.chicorytrestle.daemon.caller;

import io.activej.async.exception.AsyncCloseException;
import io.activej.net.socket.tcp.TcpSocket;
import org.jspecify.annotations.Nullable;

/**
 * Enforces the time-outs of one caller's connection and detects its disconnection. It is confined
 * to its event loop.
 */
final class CallerConnection {

    /** The deadline of a connection that waits for nothing from its caller. */
    private static final long NO_DEADLINE = Long.MAX_VALUE;

    /** The socket, which is read to detect a disconnection and closed on a time-out. */
    private final TcpSocket socket;

    /**
     * The time by which the caller must have sent the current request completely or begun the next
     * one, in milliseconds, or {@link #NO_DEADLINE} while a request is served.
     */
    private long deadlineMillis;

    /** Called once if the caller disconnects, or {@code null} if no response is pending. */
    private @Nullable Runnable disconnectListener;

    /**
     * Called once when the response of the current request was sent or the connection closed, or
     * {@code null} if no request is in flight.
     */
    private @Nullable Runnable completionListener;

    /**
     * Creates a connection.
     *
     * @param socket The socket of the connection.
     * @param deadlineMillis The time by which the first request must have been received, in
     *     milliseconds.
     */
    CallerConnection(TcpSocket socket, long deadlineMillis) {
        this.socket = socket;
        this.deadlineMillis = deadlineMillis;
    }

    /**
     * Sets the time by which the caller must have completed its next step: sending a request or
     * beginning another one.
     *
     * @param deadlineMillis The time in milliseconds.
     */
    void setDeadline(long deadlineMillis) {
        this.deadlineMillis = deadlineMillis;
    }

    /** Clears the deadline after the complete request was received. */
    void onRequestReceived() {
        deadlineMillis = NO_DEADLINE;
    }

    /**
     * Watches for a disconnection of the caller until the response is sent.
     *
     * <p>Nothing else reads the socket while a request is served. The server's own next read
     * replaces this one. A caller that sends more bytes before its response is complete is treated
     * as disconnected.
     *
     * @param listener Called once if the caller disconnects.
     */
    void watchForDisconnect(Runnable listener) {
        disconnectListener = listener;
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
     * Registers the listener for the end of a request that started.
     *
     * @param listener Called once when the response was sent or the connection closed.
     */
    void onRequestStarted(Runnable listener) {
        completionListener = listener;
    }

    /** Stops the watch for a disconnection, since the response was sent completely. */
    void onResponseSent() {
        disconnectListener = null;
        notifyCompletion();
    }

    /** Notifies both listeners that the connection closed. */
    void onDisconnect() {
        handleDisconnect();
        notifyCompletion();
    }

    /** Notifies the completion listener once. */
    private void notifyCompletion() {
        Runnable listener = completionListener;
        completionListener = null;
        if (listener != null) {
            listener.run();
        }
    }

    /** Notifies the disconnect listener once and closes the connection. */
    void handleDisconnect() {
        Runnable listener = disconnectListener;
        disconnectListener = null;
        if (listener != null) {
            listener.run();
            close("Caller disconnected before its response was complete");
        }
    }

    /**
     * Closes the connection if its deadline has passed.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void closeIfExpired(long nowMillis) {
        if (nowMillis >= deadlineMillis) {
            close("Caller exceeded the request or idle time-out");
        }
    }

    /**
     * Closes the connection.
     *
     * @param reason The reason, as the message of the exception that closes the socket.
     */
    void close(String reason) {
        socket.closeEx(new AsyncCloseException(reason));
    }
}
