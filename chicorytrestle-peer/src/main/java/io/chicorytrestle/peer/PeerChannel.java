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
 * Exchanges messages with other entry instances over TCP, in a thread of its own. The addresses
 * come from the view of the fleet.
 */
public final class PeerChannel implements PeerNetwork, PeerHandlerRegistry, AutoCloseable {

    /** Reports failures of the channel. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The most milliseconds to wait for the thread's end. */
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    /** The settings. */
    private final PeerSettings settings;

    /** Tells the present time in milliseconds. */
    private final LongSupplier clock;

    /** The event loop. */
    private final Eventloop reactor = Eventloop.builder().withThreadName("peer-channel").build();

    /** Counts bytes. */
    private final PeerTraffic traffic = new PeerTraffic();

    /** Finds the handlers. */
    private final PeerMessageDispatcher dispatcher = new PeerMessageDispatcher();

    /** What is to be sent. */
    private final SendQueue<OutgoingMessage> queue;

    /** The connections that others made. */
    private final PeerAcceptor acceptor;

    /** The links by instance; confined to the event loop's thread. */
    private final Map<String, PeerLink> links = new HashMap<>();

    /** The number of the last question. */
    private final AtomicLong lastCorrelation = new AtomicLong();

    /** Whether sending was asked for already. */
    private final AtomicBoolean flushScheduled = new AtomicBoolean();

    /** Whether sending goes on when the budget allows; confined to the event loop's thread. */
    private boolean budgetTimerPending;

    /** The addresses of the other instances, by name. */
    private volatile Map<String, InetSocketAddress> addresses = Map.of();

    /** Takes note of instances that are reached or not. */
    private volatile MembershipObserver observer = MembershipObserver.NoOp.INSTANCE;

    /** The thread of the event loop, or {@code null} before the start. */
    private @Nullable Thread thread;

    /** Accepts connections, or {@code null} before the start. */
    private @Nullable SimpleServer server;

    /**
     * Creates a new channel that is not started.
     *
     * @param settings The settings.
     * @param blackboard Tells the view of the fleet.
     * @param clock Tells the present time in milliseconds.
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
     * Sets who takes note of instances that are reached or not.
     *
     * @param replaced Takes note of instances that are reached or not.
     */
    public void setObserver(MembershipObserver replaced) {
        observer = replaced;
        acceptor.setObserver(replaced);
    }

    /**
     * Starts to listen and to send.
     *
     * @return The TCP port that is listened on.
     * @throws IOException If the address cannot be listened on.
     */
    public int start() throws IOException {
        reactor.keepAlive(true);
        Thread started = new Thread(reactor, "peer-channel");
        started.setDaemon(true);
        started.start();
        thread = started;
        SimpleServer made =
                SimpleServer.builder(reactor, this::accept)
                        .withListenAddress(new InetSocketAddress(settings.host(), settings.port()))
                        .build();
        server = made;
        try {
            reactor.submit(made::listen).join();
        } catch (RuntimeException exception) {
            throw new IOException("Cannot listen on port: " + settings.port(), exception);
        }
        return made.getBoundAddresses().get(0).getPort();
    }

    /**
     * Returns the counters of bytes.
     *
     * @return The counters of bytes.
     */
    public PeerTraffic traffic() {
        return traffic;
    }

    /**
     * Returns how many messages were dropped.
     *
     * @return The messages that were dropped since the queue was full.
     */
    public long droppedMessages() {
        return queue.dropped();
    }

    @Override
    public boolean send(String instance, PeerMessage message, MessagePriority urgency) {
        if (!addresses.containsKey(instance)) {
            return false;
        }
        byte[] envelope = encodeEnvelope(Envelope.FrameType.TELL, message, urgency, 0);
        return enqueue(OutgoingMessage.oneWay(instance, envelope, urgency));
    }

    @Override
    public CompletableFuture<PeerMessage> request(
            String instance, PeerMessage message, long timeoutMillis) {
        long correlation = lastCorrelation.incrementAndGet();
        byte[] envelope =
                encodeEnvelope(Envelope.FrameType.ASK, message, MessagePriority.REQUEST, correlation);
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
     * Takes a connection that another instance made.
     *
     * @param socket The socket.
     */
    private void accept(ITcpSocket socket) {
        acceptor.accept(socket);
    }

    /**
     * Encodes a message with its envelope.
     *
     * @param form The envelope's form.
     * @param message The message.
     * @param urgency The message's rank.
     * @param correlation The number that joins an answer with its question.
     * @return The encoded envelope.
     */
    private static byte[] encodeEnvelope(
            Envelope.FrameType form, PeerMessage message, MessagePriority urgency, long correlation) {
        return FrameCodec.INSTANCE.encode(
                new Envelope(
                        form,
                        urgency,
                        correlation,
                        PeerMessageKind.of(message).number(),
                        FrameCodec.INSTANCE.encodeMessage(message)));
    }

    /**
     * Queues an envelope.
     *
     * @param outgoing The envelope.
     * @return {@code false} if it is too long or the queue is full.
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

    /** Sends what the budget allows. */
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
     * Sends an envelope over its connection or the link to its target.
     *
     * @param outgoing The envelope.
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
     * Gives a question up.
     *
     * @param outgoing The question.
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
     * Returns the link to an instance.
     *
     * @param instance The instance's name.
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
        PeerLink made = new PeerLink(reactor, settings, instance, address, new LinkListener());
        links.put(instance, made);
        return Optional.of(made);
    }

    /**
     * Takes the addresses of a view.
     *
     * @param view The view of the fleet.
     */
    private void updateAddresses(MembershipView view) {
        Map<String, InetSocketAddress> replaced = new HashMap<>();
        for (InstanceMember member : view.instances()) {
            if (!member.identity().name().equals(settings.identity().name())) {
                replaced.put(
                        member.identity().name(),
                        new InetSocketAddress(member.host(), member.port()));
            }
        }
        boolean isChanged = !replaced.equals(addresses);
        addresses = Map.copyOf(replaced);
        if (isChanged) {
            reactor.execute(() -> List.copyOf(links.keySet()).forEach(this::linkTo));
        }
    }

    /** Takes what happens to links. */
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
