package io.chicorytrestle.core.table;

import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Controller;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.ZonePeers;
import io.chicorytrestle.core.peer.MessagePriority;
import io.chicorytrestle.core.peer.PeerHandlerRegistry;
import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.peer.PeerNetwork;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import java.util.random.RandomGenerator;

/**
 * Brings each accepted table to all entry instances. Few instances of a zone read the platform; a
 * table that came into force is told to some neighbours at once, who pull what differs and tell
 * others. Several threads may call it; a caller steps it every few tens of milliseconds.
 */
public final class TableGossip implements Controller {

    /** The instances that are told of a table at once. */
    private static final int FANOUT = 3;

    /** The milliseconds between notices when nothing changed. */
    private static final long NOTICE_PERIOD_MILLIS = 1_000;

    /** The milliseconds after which a pull is tried again if nothing came. */
    private static final long PULL_RETRY_MILLIS = 700;

    /** The milliseconds without a notice after which this instance reads the platform itself. */
    private static final long NOTICE_TIMEOUT_MILLIS = 5_000;

    /** The latest tables that differences are made from. */
    private static final int HISTORY_SIZE = 16;

    /** Chooses the instances to exchange messages with. */
    private final ZonePeers.Cache peersCache;

    /** Tells the view of the fleet. */
    private final Blackboard blackboard;

    /** Keeps the table in force. */
    private final TableRegistry register;

    /** Sends messages. */
    private final PeerNetwork network;

    /** Chooses instances; guarded by the lock. */
    private final RandomGenerator random;

    /** Finds out under which table this instance may serve; guarded by the lock. */
    private final MinimumVersionResolver minimumVersion;

    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The latest tables, the one in force last. */
    private final Deque<TableParseResult.Accepted> history = new ArrayDeque<>();

    /** The parts that came so far. */
    private final TablePartAssembler assembler = new TablePartAssembler();

    /** The time before which no other pull is sent, in milliseconds. */
    private long nextPullMillis;

    /** The time of the next notice in milliseconds. */
    private long nextNoticeMillis;

    /** The time of the last notice from another instance in milliseconds. */
    private long lastNoticeMillis;

    /** The version that was told last. */
    private long announcedVersion;

    /**
     * Creates a new spread.
     *
     * @param own This entry instance.
     * @param blackboard Tells the view of the fleet and receives the floor.
     * @param register Keeps the table in force.
     * @param network Sends messages.
     * @param random Chooses instances.
     */
    public TableGossip(
            InstanceIdentity own,
            Blackboard blackboard,
            TableRegistry register,
            PeerNetwork network,
            RandomGenerator random) {
        this.peersCache = new ZonePeers.Cache(blackboard, own);
        this.blackboard = blackboard;
        this.register = register;
        this.network = network;
        this.random = random;
        this.minimumVersion = new MinimumVersionResolver(blackboard, network);
    }

    /**
     * Registers the handlers of the messages by which tables spread.
     *
     * @param registry Takes the handlers.
     */
    public void register(PeerHandlerRegistry registry) {
        registry.register(
                TableMessages.Notice.class,
                (sender, notice, nowMillis) -> {
                    handle(sender.name(), notice, nowMillis);
                    return null;
                });
        registry.register(
                TableMessages.Pull.class,
                (sender, pull, nowMillis) -> {
                    handle(sender.name(), pull);
                    return null;
                });
        registry.register(
                TableMessages.Part.class,
                (sender, part, nowMillis) -> {
                    handle(sender.name(), part, nowMillis);
                    return null;
                });
        registry.register(
                TableMessages.VersionQuery.class,
                (sender, query, nowMillis) ->
                        CompletableFuture.<PeerMessage>completedFuture(createNotice()));
    }

    /**
     * Returns {@code true} if this instance is to read the platform for its zone.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if it is a reader, or heard nothing of the table for long, or may not
     *     serve yet.
     */
    public boolean shouldReadPlatform(long nowMillis) {
        boolean isSilent;
        lock.lock();
        try {
            isSilent = nowMillis > lastNoticeMillis + NOTICE_TIMEOUT_MILLIS;
        } finally {
            lock.unlock();
        }
        boolean mayServe =
                blackboard.read(Topics.MINIMUM_TABLE_VERSION).allows(blackboard.read(Topics.TABLE));
        return isSilent || !mayServe || peersCache.current().isReader();
    }

    /**
     * Takes what the platform published.
     *
     * @param content The written table.
     * @param nowMillis The present time in milliseconds.
     */
    public void receivePublished(byte[] content, long nowMillis) {
        register.offer(TableParser.INSTANCE.parse(content), "configuration service", nowMillis);
    }

    @Override
    public void step(long nowMillis) {
        lock.lock();
        try {
            TableParseResult.Accepted inForce = register.current();
            ZonePeers peers = peersCache.current();
            minimumVersion.step(inForce.table(), peers, random, nowMillis);
            if (inForce.table().version() > announcedVersion) {
                announcedVersion = inForce.table().version();
                addToHistory(inForce);
                announce(peers, FANOUT);
                nextNoticeMillis = nowMillis + NOTICE_PERIOD_MILLIS;
            } else if (nowMillis >= nextNoticeMillis) {
                nextNoticeMillis = nowMillis + NOTICE_PERIOD_MILLIS;
                announce(peers, 1);
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Tells some instances which table is in force.
     *
     * @param peers The instances of this zone and the readers of others.
     * @param count The most instances to tell in this zone, and in others.
     */
    private void announce(ZonePeers peers, int count) {
        List<String> instances = new ArrayList<>();
        instances.addAll(ZonePeers.sample(peers.neighbours(), count, random));
        if (peers.isReader()) {
            instances.addAll(ZonePeers.sample(peers.remoteReaders(), count, random));
        }
        TableMessages.Notice notice = createNotice();
        instances.forEach(instance -> network.send(instance, notice, MessagePriority.PROMPT));
    }

    /**
     * Compares a notice with the table in force.
     *
     * @param sender The sender's name.
     * @param notice The notice.
     * @param nowMillis The present time in milliseconds.
     */
    private void handle(String sender, TableMessages.Notice notice, long nowMillis) {
        TableParseResult.Accepted inForce = register.current();
        long version = inForce.table().version();
        lock.lock();
        try {
            lastNoticeMillis = nowMillis;
            if (notice.version() > version && nowMillis >= nextPullMillis) {
                nextPullMillis = nowMillis + PULL_RETRY_MILLIS;
                network.send(
                        sender,
                        new TableMessages.Pull(version, inForce.digest()),
                        MessagePriority.PROMPT);
            }
        } finally {
            lock.unlock();
        }
        if (notice.version() == version && !notice.digest().equals(inForce.digest())) {
            register.reportConflict(
                    notice.version(), notice.digest(), sourceName(sender), nowMillis);
        } else if (notice.version() < version) {
            network.send(sender, createNotice(), MessagePriority.PROMPT);
        }
    }

    /**
     * Sends the table in force.
     *
     * @param sender The sender's name.
     * @param pull What the sender has.
     */
    private void handle(String sender, TableMessages.Pull pull) {
        TableParseResult.Accepted inForce = register.current();
        if (inForce.table().version() <= pull.baseVersion()) {
            return;
        }
        Optional<TableParseResult.Accepted> base;
        lock.lock();
        try {
            base =
                    history.stream()
                            .filter(known -> known.table().version() == pull.baseVersion())
                            .filter(known -> known.digest().equals(pull.baseDigest()))
                            .findFirst();
        } finally {
            lock.unlock();
        }
        for (TableMessages.Part part : TablePacker.INSTANCE.pack(base, inForce)) {
            network.send(sender, part, MessagePriority.PROMPT);
        }
    }

    /**
     * Gathers a part, and offers the table once it is whole.
     *
     * @param sender The sender's name.
     * @param part The part.
     * @param nowMillis The present time in milliseconds.
     */
    private void handle(String sender, TableMessages.Part part, long nowMillis) {
        TableParseResult.Accepted inForce = register.current();
        if (part.version() <= inForce.table().version()) {
            return;
        }
        Optional<TablePartAssembler.AssembledTable> whole;
        lock.lock();
        try {
            nextPullMillis = nowMillis + PULL_RETRY_MILLIS;
            whole = assembler.add(part);
            if (whole.isPresent()) {
                nextPullMillis = nowMillis;
            }
        } finally {
            lock.unlock();
        }
        whole.ifPresent(gathered -> offer(sender, inForce, gathered, nowMillis));
    }

    /**
     * Offers a table that came whole.
     *
     * @param sender The sender's name.
     * @param inForce What is in force.
     * @param whole The gathered parts.
     * @param nowMillis The present time in milliseconds.
     */
    private void offer(
            String sender,
            TableParseResult.Accepted inForce,
            TablePartAssembler.AssembledTable whole,
            long nowMillis) {
        long baseVersion = whole.firstPart().baseVersion();
        Optional<TableParseResult> reading = Optional.empty();
        if (baseVersion == 0 || baseVersion == inForce.table().version()) {
            try {
                reading =
                        Optional.of(
                                TablePacker.INSTANCE.unpack(
                                        inForce.table(), whole.firstPart(), whole.content()));
            } catch (IOException exception) {
                reading = Optional.empty();
            }
        }
        boolean isWhole =
                reading.filter(TableParseResult.Accepted.class::isInstance)
                        .map(TableParseResult.Accepted.class::cast)
                        .filter(accepted -> accepted.digest().equals(whole.firstPart().digest()))
                        .isPresent();
        if (isWhole) {
            register.offer(reading.orElseThrow(), sourceName(sender), nowMillis);
        } else if (baseVersion != 0) {
            network.send(sender, new TableMessages.Pull(0, ""), MessagePriority.PROMPT);
        }
    }

    /**
     * Keeps a table to make differences from.
     *
     * @param inForce The table in force.
     */
    private void addToHistory(TableParseResult.Accepted inForce) {
        if (history.size() == HISTORY_SIZE) {
            history.removeFirst();
        }
        history.addLast(inForce);
    }

    /**
     * Returns the notice of the table in force.
     *
     * @return The notice of the table in force.
     */
    private TableMessages.Notice createNotice() {
        TableParseResult.Accepted inForce = register.current();
        return new TableMessages.Notice(inForce.table().version(), inForce.digest());
    }

    /**
     * Returns how the audit trail names a table's source.
     *
     * @param sender The sender's name.
     * @return The source.
     */
    private static String sourceName(String sender) {
        return "entry instance " + sender;
    }
}
