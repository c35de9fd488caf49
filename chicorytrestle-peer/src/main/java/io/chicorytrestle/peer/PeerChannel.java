package io.chicorytrestle.peer;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.membership.InstanceMember;
import io.chicorytrestle.core.membership.MembershipObserver;
import io.chicorytrestle.core.membership.MembershipView;
import io.chicorytrestle.core.peer.ByteBudget;
import io.chicorytrestle.core.peer.MessagePriority;
import io.chicorytrestle.core.peer.PeerHandler;
import io.chicorytrestle.core.peer.PeerHandlerRegistry;
import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.peer.PeerMessageKind;
import io.chicorytrestle.core.peer.PeerNetwork;
import io.chicorytrestle.core.peer.SendQueue;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Exchanges messages with other entry instances over TCP, on a thread of its own. The addresses of
 * the instances come from the membership view on the blackboard. Messages and requests may be sent
 * from any thread.
 */
public final class PeerChannel implements PeerNetwork, PeerHandlerRegistry, AutoCloseable {

    /** Logs messages that are too long to send. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The maximum time to wait for the thread's end in milliseconds. */
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    /** The local identity, the address to listen on, the shared keys and the limits. */
    private final PeerSettings settings;

    /** Returns the present time in milliseconds. */
    private final LongSupplier clock;

    /** The event loop that runs all connections. */
    private final Eventloop reactor = Eventloop.builder().withThreadName("peer-channel").build();

    /** Counts sent and received bytes and rejected peers. */
    private final PeerTraffic traffic = new PeerTraffic();

    /** Passes received messages to their registered handlers. */
    private final PeerMessageDispatcher dispatcher = new PeerMessageDispatcher();

    /** The messages to send, ordered by priority and limited by the byte budget. */
    private final SendQueue<OutgoingMessage> queue;

    /** Accepts the connections that other instances open. */
    private final PeerAcceptor acceptor;

    /** The outgoing links by instance name; confined to the event loop's thread. */
    private final Map<String, PeerLink> links = new HashMap<>();

    /** The correlation number of the last request. */
    private final AtomicLong lastCorrelation = new AtomicLong();

    /** Whether a flush is already scheduled on the event loop. */
    private final AtomicBoolean flushScheduled = new AtomicBoolean();

    /**
     * Whether a flush is scheduled for the refill of the budget; confined to the event loop's
     * thread.
     */
    private boolean budgetTimerPending;

    /** The addresses of the other instances by name; replaced with each membership view. */
    private volatile Map<String, InetSocketAddress> addresses = Map.of();

    /** Notified of instances that were reached or could not be reached. */
    private volatile MembershipObserver observer = MembershipObserver.NoOp.INSTANCE;

    /** The event loop's thread, or {@code null} before the start. */
    private @Nullable Thread thread;

    /** Listens for connections, or {@code null} before the start. */
    private @Nullable SimpleServer server;

    /**
     * Creates a new channel, which neither listens nor sends before it is started.
     *
     * @param settings The local identity, the address to listen on, the shared keys and the limits.
     * @param blackboard The source of the membership view.
     * @param clock Returns the present time in milliseconds.
     */
    public PeerChannel(PeerSettings settings, Blackboard blackboard, LongSupplier clock) {
        this.settings = settings;
        this.clock = clock;
        PeerLimits limits = settings.limits();
        queue =
                new SendQueue<>(
                        ByteBudget.full(limits.bytesPerSecond(), clock.getAsLong()),
                        limits.maximumQueuedMessages());
        acceptor = new PeerAcceptor(reactor, settings, dispatcher, traffic, this::enqueue, clock);
        blackboard.addListener(Topics.MEMBERSHIP, this::updateAddresses);
        updateAddresses(blackboard.read(Topics.MEMBERSHIP));
    }

    @Override
    public <M extends PeerMessage> void register(Class<M> type, PeerHandler<M> handler) {
        dispatcher.register(type, handler);
    }

    /**
     * Sets the observer that is notified of instances that were reached or could not be reached.
     *
     * @param newObserver The observer.
     */
    public void setObserver(MembershipObserver newObserver) {
        observer = newObserver;
        acceptor.setObserver(newObserver);
    }

    /**
     * Starts the event loop's thread and listens for connections.
     *
     * @return The bound TCP port.
     * @throws IOException If the address can't be bound.
     */
    public int start() throws IOException {
        reactor.keepAlive(true);
        Thread newThread = new Thread(reactor, "peer-channel");
        newThread.setDaemon(true);
        newThread.start();
        thread = newThread;
        SimpleServer newServer =
                SimpleServer.builder(reactor, this::accept)
                        .withListenAddress(new InetSocketAddress(settings.host(), settings.port()))
                        .build();
        server = newServer;
        try {
            reactor.submit(newServer::listen).join();
        } catch (RuntimeException exception) {
            throw new IOException("Cannot listen on port: " + settings.port(), exception);
        }
        return newServer.getBoundAddresses().get(0).getPort();
    }

    /**
     * Returns the counters of sent and received bytes and of rejected peers.
     *
     * @return The counters, which are updated as long as the channel runs.
     */
    public PeerTraffic traffic() {
        return traffic;
    }

    /**
     * Returns the number of messages that were dropped.
     *
     * @return The number of messages dropped because the send queue was full.
     */
    public long droppedMessages() {
        return queue.dropped();
    }

    @Override
    public boolean send(String instance, PeerMessage message, MessagePriority priority) {
        if (!addresses.containsKey(instance)) {
            return false;
        }
        byte[] envelope = encodeEnvelope(Envelope.FrameType.TELL, message, priority, 0);
        return enqueue(OutgoingMessage.oneWay(instance, envelope, priority));
    }

    @Override
    public CompletableFuture<PeerMessage> request(
            String instance, PeerMessage message, long timeoutMillis) {
        long correlation = lastCorrelation.incrementAndGet();
        byte[] envelope =
                encodeEnvelope(
                        Envelope.FrameType.ASK, message, MessagePriority.REQUEST, correlation);
        OutgoingMessage outgoing = OutgoingMessage.request(instance, envelope, correlation);
        if (!addresses.containsKey(instance)) {
            outgoing.failUnsent("it is unknown");
        } else if (!enqueue(outgoing)) {
            outgoing.failUnsent("the queue is full");
        } else {
            reactor.execute(() -> reactor.delayBackground(timeoutMillis, () -> timeOut(outgoing)));
        }
        return outgoing.reply();
    }

    @Override
    public void close() {
        Thread running = thread;
        if (running == null) {
            return;
        }
        reactor.execute(
                () -> {
                    Optional.ofNullable(server).ifPresent(SimpleServer::close);
                    List.copyOf(links.values()).forEach(link -> link.close("channel is closed"));
                    links.clear();
                    acceptor.close();
                    reactor.keepAlive(false);
                });
        try {
            running.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        reactor.breakEventloop();
    }

    /**
     * Accepts a connection that another instance opened.
     *
     * @param socket The accepted socket.
     */
    private void accept(ITcpSocket socket) {
        acceptor.accept(socket);
    }

    /**
     * Encodes a message in its envelope.
     *
     * @param frameType The type of the frame.
     * @param message The message.
     * @param priority The message's priority.
     * @param correlation The number that matches a reply to its request; zero for a one-way
     *     message.
     * @return The encoded envelope.
     */
    private static byte[] encodeEnvelope(
            Envelope.FrameType frameType,
            PeerMessage message,
            MessagePriority priority,
            long correlation) {
        return FrameCodec.INSTANCE.encode(
                new Envelope(
                        frameType,
                        priority,
                        correlation,
                        PeerMessageKind.of(message).number(),
                        FrameCodec.INSTANCE.encodeMessage(message)));
    }

    /**
     * Queues a message and schedules a flush. Any thread may call this method.
     *
     * @param outgoing The message.
     * @return {@code false} if its frame is too long or the queue is full.
     */
    private boolean enqueue(OutgoingMessage outgoing) {
        int bytes = FrameCodec.INSTANCE.frameBytes(outgoing.envelope().length);
        if (bytes > settings.limits().maximumFrameBytes()) {
            LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "Cannot send frame of %d bytes to %s", bytes, outgoing.target());
            return false;
        }
        boolean isQueued = queue.offer(outgoing, bytes, outgoing.priority());
        if (isQueued && flushScheduled.compareAndSet(false, true)) {
            reactor.execute(this::flush);
        }
        return isQueued;
    }

    /** Sends the queued messages that the budget allows, and schedules the rest. */
    private void flush() {
        flushScheduled.set(false);
        Optional<OutgoingMessage> next = queue.poll(clock.getAsLong());
        while (next.isPresent()) {
            OutgoingMessage outgoing = next.get();
            int bytes = FrameCodec.INSTANCE.frameBytes(outgoing.envelope().length);
            traffic.countSent(outgoing.priority(), bytes);
            send(outgoing);
            next = queue.poll(clock.getAsLong());
        }
        long waitMillis = queue.waitMillis(clock.getAsLong());
        if (waitMillis >= 0 && !budgetTimerPending) {
            budgetTimerPending = true;
            reactor.delayBackground(
                    Math.max(1, waitMillis),
                    () -> {
                        budgetTimerPending = false;
                        flush();
                    });
        }
    }

    /**
     * Sends a message over its connection, or else over the link to its target.
     *
     * @param outgoing The message.
     */
    private void send(OutgoingMessage outgoing) {
        if (outgoing.connection().isPresent()) {
            outgoing.connection().get().send(outgoing.envelope());
            return;
        }
        linkTo(outgoing.target())
                .ifPresentOrElse(
                        link -> link.send(outgoing), () -> outgoing.failUnsent("it is unknown"));
    }

    /**
     * Fails a request whose time-out has passed. Does nothing if it is completed already.
     *
     * @param outgoing The request.
     */
    private void timeOut(OutgoingMessage outgoing) {
        if (!outgoing.isCompleted()) {
            linkTo(outgoing.target())
                    .ifPresentOrElse(
                            link -> link.timeOut(outgoing),
                            () -> outgoing.failSent("it is unknown by now"));
        }
    }

    /**
     * Returns the link to an instance, which is created if there is none. A link to an outdated
     * address is closed first.
     *
     * @param instance The name of the instance.
     * @return The link, or empty if the instance is unknown or there are too many links.
     */
    private Optional<PeerLink> linkTo(String instance) {
        InetSocketAddress address = addresses.get(instance);
        PeerLink link = links.get(instance);
        if (link != null && link.address().equals(address)) {
            return Optional.of(link);
        }
        if (link != null) {
            links.remove(instance);
            link.close("instance moved");
        }
        if (address == null || links.size() >= settings.limits().maximumPeers()) {
            return Optional.empty();
        }
        PeerLink newLink = new PeerLink(reactor, settings, instance, address, new LinkListener());
        links.put(instance, newLink);
        return Optional.of(newLink);
    }

    /**
     * Updates the addresses from a membership view, and replaces the links whose address changed.
     *
     * @param view The membership view.
     */
    private void updateAddresses(MembershipView view) {
        Map<String, InetSocketAddress> newAddresses = new HashMap<>();
        for (InstanceMember member : view.instances()) {
            if (!member.identity().name().equals(settings.identity().name())) {
                newAddresses.put(
                        member.identity().name(),
                        new InetSocketAddress(member.host(), member.port()));
            }
        }
        boolean isChanged = !newAddresses.equals(addresses);
        addresses = Map.copyOf(newAddresses);
        if (isChanged) {
            reactor.execute(() -> List.copyOf(links.keySet()).forEach(this::linkTo));
        }
    }

    /** Handles the events of the links. */
    private final class LinkListener implements PeerLink.Listener {

        @Override
        public void peerReached(String instance) {
            observer.instanceSucceeded(instance, clock.getAsLong());
        }

        @Override
        public void peerUnreachable(String instance) {
            observer.instanceFailed(instance, clock.getAsLong());
        }

        @Override
        public void replyReceived(@Nullable OutgoingMessage outgoing, Envelope envelope, int bytes)
                throws PeerRejectedException {
            traffic.countReceived(envelope.priority(), bytes);
            if (outgoing == null) {
                return;
            }
            Optional<PeerMessageKind> kind = PeerMessageKind.of(envelope.kind());
            if (kind.isEmpty()) {
                outgoing.failSent("it does not handle the message");
            } else {
                outgoing.reply()
                        .complete(FrameCodec.INSTANCE.decode(envelope.body(), kind.get().type()));
            }
        }

        @Override
        public void peerRejected() {
            traffic.countRejectedPeer();
        }
    }
}
