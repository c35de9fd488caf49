package io.chicorytrestle.gateway.front;

import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.ServerSocketSettings;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.chicorytrestle.core.admission.HeldBytes;
import io.chicorytrestle.core.attempt.RefusalReason;
import io.chicorytrestle.core.route.RequestLimits;
import io.chicorytrestle.gateway.link.EventLoopLag;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** HTTP server that accepts callers' connections. Confined to the event loop thread. */
public final class FrontHttpServer {

    /** The accept backlog, large enough for all callers of a zone to connect at once. */
    private static final int ACCEPT_BACKLOG = 1_024;

    /**
     * The time in milliseconds for which a connection is assumed to have waited if it was held
     * during a pause: long enough that its caller may have left, and short beside time-outs, since
     * callers connect until the end of a pause.
     */
    private static final long ASSUMED_PAUSE_MILLIS = 100;

    /** The remaining time in milliseconds that is assumed for a caller that is refused. */
    private static final long ASSUMED_REMAINING_MILLIS = 10_000;

    /** The interval in milliseconds at which a full server looks for room for a connection. */
    private static final long FULL_PAUSE_MILLIS = 50;

    /** The number of connections that are kept unread while no further one can be held. */
    private static final int MAXIMUM_WAITING_CONNECTIONS = 64;

    /** The largest error in milliseconds of a comparison of two rounded times and a duration. */
    static final long ROUNDING_MILLIS = 2;

    /** The options of a caller's socket. */
    private static final SocketSettings SOCKET_SETTINGS =
            SocketSettings.builder().withTcpNoDelay(true).build();

    /** The event loop. */
    private final NioReactor reactor;

    /** Processes complete requests. */
    private final HttpRequestHandler handler;

    /** Tells for how long bytes that are read now may have been waiting. */
    private final EventLoopLag eventLoopLag;

    /** Supplies the current request limits, read once for each accepted connection. */
    private final Supplier<RequestLimits> requestLimits;

    /** Called for each request that was rejected before it reached the handler. */
    private final BiConsumer<HttpResponseStatus, String> rejectionObserver;

    /** The address to listen on. */
    private final InetSocketAddress address;

    /** Whether new connections are left to the operating system. */
    private boolean isPaused;

    /** The time in milliseconds at which accepting was resumed; far in the past before. */
    private long resumedMillis = Long.MIN_VALUE / 2;

    /** The listening socket, or null if this server does not listen. */
    private @Nullable ServerSocketChannel listeningSocket;

    /** The open connections, idle ones included. */
    private final Set<CallerConnection> connections = new HashSet<>();

    /** The limits over all connections. */
    private final CallerLimits callerLimits;

    /** Whether callers yield at the end of the turn of the event loop. */
    private boolean isReliefScheduled;

    /** Whether new connections wait until one is closed. */
    private boolean isFull;

    /** The accepted connections of which nothing is read until one more can be held. */
    private final Deque<WaitingConnection> waiting = new ArrayDeque<>();

    /** Whether connections close after their next response. */
    private boolean isDraining;

    /**
     * Creates a server, which does not listen yet.
     *
     * @param reactor The event loop.
     * @param address The address to listen on.
     * @param eventLoopLag Tells for how long bytes that are read now may have been waiting.
     * @param handler Processes complete requests.
     * @param limits Supplies the current request limits, read once for each accepted connection.
     * @param rejectionObserver Called for each request that was rejected before it reached the
     *     handler.
     * @param callerLimits The limits over all connections.
     */
    public FrontHttpServer(
            NioReactor reactor,
            InetSocketAddress address,
            EventLoopLag eventLoopLag,
            HttpRequestHandler handler,
            Supplier<RequestLimits> limits,
            BiConsumer<HttpResponseStatus, String> rejectionObserver,
            CallerLimits callerLimits) {
        this.reactor = reactor;
        this.eventLoopLag = eventLoopLag;
        this.handler = handler;
        this.requestLimits = limits;
        this.rejectionObserver = rejectionObserver;
        this.callerLimits = callerLimits;
        this.address = address;
    }

    /**
     * Binds the address and starts accepting connections.
     *
     * @throws IOException If the address cannot be bound.
     */
    public void listen() throws IOException {
        listeningSocket =
                reactor.listen(
                        address,
                        ServerSocketSettings.builder().withBacklog(ACCEPT_BACKLOG).build(),
                        this::acceptConnection);
        updateInterest();
    }

    /**
     * Leaves new connections to the operating system, which holds them at no cost of processor
     * time, until {@link #resume()} is called.
     */
    public void pause() {
        isPaused = true;
        updateInterest();
    }

    /** Accepts connections again, if this server is paused. */
    public void resume() {
        if (isPaused) {
            isPaused = false;
            resumedMillis = reactor.currentTimeMillis();
            updateInterest();
        }
    }

    /** Tells the selector whether connections are accepted. */
    private void updateInterest() {
        SelectionKey key =
                listeningSocket == null ? null : listeningSocket.keyFor(reactor.ensureSelector());
        if (key != null && key.isValid()) {
            key.interestOps(isPaused || isFull ? 0 : SelectionKey.OP_ACCEPT);
        }
    }

    /** Closes each connection after its next response. New connections are still accepted. */
    public void drain() {
        isDraining = true;
    }

    /** Stops accepting connections and closes the idle ones. */
    public void close() {
        if (listeningSocket != null) {
            reactor.closeChannel(listeningSocket, listeningSocket.keyFor(reactor.ensureSelector()));
            listeningSocket = null;
        }
        waiting.forEach(connection -> reactor.closeChannel(connection.channel(), null));
        waiting.clear();
        closeIdle();
    }

    /** Closes the connections that have no request in progress. */
    public void closeIdle() {
        List.copyOf(connections).stream()
                .filter(CallerConnection::isIdle)
                .forEach(CallerConnection::close);
    }

    /**
     * Returns the number of open connections, idle ones included.
     *
     * @return The number of connections.
     */
    public int connections() {
        return connections.size();
    }

    /**
     * Returns the number of connections on which a request is being received or processed.
     *
     * @return The number of busy connections.
     */
    public long busyConnections() {
        return connections.stream().filter(connection -> !connection.isIdle()).count();
    }

    /**
     * Registers a new connection and starts reading from it.
     *
     * @param channel The accepted socket.
     */
    private void acceptConnection(SocketChannel channel) {
        if (!waiting.isEmpty() || !held().makeRoomForAccount(nowMillis())) {
            await(channel);
        } else {
            open(channel, 0);
        }
    }

    /**
     * Keeps a connection, of which nothing is read, until one more can be held. Those that were
     * established in the same turn of the event loop are accepted together; too many are closed.
     *
     * @param channel The accepted socket.
     */
    private void await(SocketChannel channel) {
        if (waiting.size() < MAXIMUM_WAITING_CONNECTIONS) {
            waiting.add(new WaitingConnection(channel, nowMillis()));
        } else {
            reactor.closeChannel(channel, null);
            reportYield(HeldBytes.Reason.CONNECTIONS);
        }
        awaitRoom();
    }

    /**
     * Opens a connection for which there is room.
     *
     * @param channel The accepted socket.
     * @param waitedMillis The time in milliseconds since it was accepted.
     */
    private void open(SocketChannel channel, long waitedMillis) {
        ITcpSocket socket;
        try {
            InetSocketAddress caller = (InetSocketAddress) channel.getRemoteAddress();
            socket = TcpSocket.wrapChannel(reactor, channel, caller, SOCKET_SETTINGS);
        } catch (IOException exception) {
            // The caller has closed the connection before it was accepted.
            reactor.closeChannel(channel, null);
            return;
        }
        CallerConnection connection =
                new CallerConnection(this, socket, earliestEstablishmentMillis(waitedMillis));
        connections.add(connection);
        connection.start();
        if (!held().hasRoomForAccount(nowMillis())) {
            awaitRoom();
        }
    }

    /** Leaves new connections to the operating system until one more can be held. */
    private void awaitRoom() {
        if (!isFull) {
            isFull = true;
            updateInterest();
            schedule(FULL_PAUSE_MILLIS, this::endWaitForRoom);
        }
    }

    /** Opens the connections that wait while there is room, and accepts others again after them. */
    private void endWaitForRoom() {
        while (!waiting.isEmpty() && held().makeRoomForAccount(nowMillis())) {
            WaitingConnection next = waiting.remove();
            open(next.channel(), nowMillis() - next.acceptedMillis());
        }
        if (waiting.isEmpty() && held().hasRoomForAccount(nowMillis())) {
            isFull = false;
            resumedMillis = nowMillis();
            updateInterest();
        } else {
            schedule(FULL_PAUSE_MILLIS, this::endWaitForRoom);
        }
    }

    /**
     * Removes a closed connection.
     *
     * @param connection The connection.
     */
    void removeConnection(CallerConnection connection) {
        connections.remove(connection);
    }

    /**
     * Returns the request handler.
     *
     * @return The handler.
     */
    HttpRequestHandler handler() {
        return handler;
    }

    /**
     * Returns whether connections close after their next response.
     *
     * @return {@code true} after {@link #drain()}.
     */
    boolean isDraining() {
        return isDraining;
    }

    /**
     * Returns the current time.
     *
     * @return The time of the last poll for input, in milliseconds.
     */
    long nowMillis() {
        return reactor.currentTimeMillis();
    }

    /**
     * Returns the earliest time at which bytes that are read now from a polled socket can have
     * arrived.
     *
     * @return The time in milliseconds.
     */
    long earliestArrivalMillis() {
        return reactor.currentTimeMillis() - eventLoopLag.lagMillis();
    }

    /**
     * Returns the earliest time at which the bytes that are read now from a connection can have
     * arrived. Those found by the first poll after it was accepted may be as old as the connection.
     *
     * @param acceptedMillis The time in milliseconds at which the connection was accepted.
     * @param establishedMillis The earliest time in milliseconds at which it can have been opened.
     * @return The time in milliseconds.
     */
    long earliestArrivalMillis(long acceptedMillis, long establishedMillis) {
        long earliestMillis = earliestArrivalMillis();
        return earliestMillis <= acceptedMillis + ROUNDING_MILLIS
                ? establishedMillis
                : earliestMillis;
    }

    /**
     * Returns the earliest time at which a connection that is opened now can have been established.
     * One that was held during a pause is assumed to have waited for a part of it.
     *
     * @param waitedMillis The time in milliseconds since it was accepted.
     * @return The time in milliseconds.
     */
    private long earliestEstablishmentMillis(long waitedMillis) {
        long earliestMillis = earliestArrivalMillis() - waitedMillis;
        return earliestMillis <= resumedMillis + ROUNDING_MILLIS
                ? earliestMillis - ASSUMED_PAUSE_MILLIS
                : earliestMillis;
    }

    /**
     * Returns the current request limits.
     *
     * @return The limits, which hold for the life of a connection that is opened now.
     */
    RequestLimits requestLimits() {
        return requestLimits.get();
    }

    /**
     * Returns what is held for callers.
     *
     * @return The ledger of all connections.
     */
    HeldBytes held() {
        return callerLimits.held();
    }

    /**
     * Lets callers yield at the end of the turn of the event loop if too much is held, so that no
     * connection closes while it is sending.
     */
    void relieveIfNeeded() {
        if (held().isOverBound() && !isReliefScheduled) {
            isReliefScheduled = true;
            reactor.postLast(
                    () -> {
                        isReliefScheduled = false;
                        held().relieve(nowMillis());
                    });
        }
    }

    /**
     * Returns when a caller may come back whose request was refused for the instance's memory.
     *
     * @return The delay in milliseconds.
     */
    long retryAfterMillis() {
        return RefusalReason.INSTANCE_FULL.retryAfterMillis(
                ASSUMED_REMAINING_MILLIS, ThreadLocalRandom.current().nextDouble());
    }

    /**
     * Reports a caller that yields.
     *
     * @param reason Why it yields.
     */
    void reportYield(HeldBytes.Reason reason) {
        callerLimits.yieldObserver().accept(reason);
    }

    /**
     * Reports a request that was rejected before it reached the handler.
     *
     * @param status The response status.
     * @param reason What was rejected and why.
     */
    void reportRejection(HttpResponseStatus status, String reason) {
        rejectionObserver.accept(status, reason);
    }

    /**
     * Schedules an action that does not keep the event loop alive.
     *
     * @param delayMillis The delay in milliseconds.
     * @param action The action.
     * @return The handle that cancels the action.
     */
    ScheduledRunnable schedule(long delayMillis, Runnable action) {
        return reactor.delayBackground(delayMillis, action);
    }

    /**
     * A connection that was accepted and is not read yet.
     *
     * @param channel The accepted socket.
     * @param acceptedMillis The time in milliseconds at which it was accepted.
     */
    private record WaitingConnection(SocketChannel channel, long acceptedMillis) {}
}
