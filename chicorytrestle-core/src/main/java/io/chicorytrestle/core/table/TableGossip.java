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
 * Distributes each accepted table to all entry instances by gossip. Only a few instances of a zone,
 * its readers, poll the platform. An instance that activates a new table announces its version to a
 * random sample of neighbours, which pull the difference and announce it in turn. This class is
 * thread-safe; {@link #step} is called every few tens of milliseconds.
 */
public final class TableGossip implements Controller {

    /**
     * The number of neighbours, and of remote readers, that receive a notice of a new table at
     * once.
     */
    private static final int FANOUT = 3;

    /** The period of the notice to one random neighbour while the table does not change. */
    private static final long NOTICE_PERIOD_MILLIS = 1_000;

    /** The time after which a pull may be sent again if no part arrived. */
    private static final long PULL_RETRY_MILLIS = 700;

    /** The time without any notice after which this instance reads the platform itself. */
    private static final long NOTICE_TIMEOUT_MILLIS = 5_000;

    /** The number of recent tables that are kept as bases for differences. */
    private static final int HISTORY_SIZE = 16;

    /** Selects the instances to exchange messages with. */
    private final ZonePeers.Cache peersCache;

    /** Provides the minimum version and the current table. */
    private final Blackboard blackboard;

    /** Holds the current table. */
    private final TableRegistry tableRegistry;

    /** Sends messages to other instances. */
    private final PeerNetwork network;

    /** Samples instances; guarded by the lock. */
    private final RandomGenerator random;

    /** Determines the lowest table version to serve under; guarded by the lock. */
    private final MinimumVersionResolver minimumVersion;

    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The most recent tables, the current one last. */
    private final Deque<TableParseResult.Accepted> history = new ArrayDeque<>();

    /** The parts that have arrived so far. */
    private final TablePartAssembler assembler = new TablePartAssembler();

    /** The time before which no further pull is sent, in milliseconds. */
    private long nextPullMillis;

    /** The time of the next notice in milliseconds. */
    private long nextNoticeMillis;

    /** The time of the last notice from another instance in milliseconds. */
    private long lastNoticeMillis;

    /** The version of the last new table that was announced. */
    private long announcedVersion;

    /**
     * Creates a new gossip controller.
     *
     * @param own This entry instance.
     * @param blackboard Provides the view of the fleet and receives the minimum version.
     * @param tableRegistry Holds the current table.
     * @param network Sends messages to other instances.
     * @param random Samples instances.
     */
    public TableGossip(
            InstanceIdentity own,
            Blackboard blackboard,
            TableRegistry tableRegistry,
            PeerNetwork network,
            RandomGenerator random) {
        this.peersCache = new ZonePeers.Cache(blackboard, own);
        this.blackboard = blackboard;
        this.tableRegistry = tableRegistry;
        this.network = network;
        this.random = random;
        this.minimumVersion = new MinimumVersionResolver(blackboard, network);
    }

    /**
     * Registers the handlers of the table messages.
     *
     * @param registry The registry to add the handlers to.
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
     * Returns {@code true} if this instance should read the table from the platform.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if it is a reader of its zone, has received no notice within the
     *     time-out, or may not serve yet.
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
     * Parses and offers a table that was read from the platform.
     *
     * @param content The table as YAML.
     * @param nowMillis The present time in milliseconds.
     */
    public void receivePublished(byte[] content, long nowMillis) {
        tableRegistry.offer(
                TableParser.INSTANCE.parse(content), "configuration service", nowMillis);
    }

    @Override
    public void step(long nowMillis) {
        lock.lock();
        try {
            TableParseResult.Accepted current = tableRegistry.current();
            ZonePeers peers = peersCache.current();
            minimumVersion.step(current.table(), peers, random, nowMillis);
            if (current.table().version() > announcedVersion) {
                announcedVersion = current.table().version();
                addToHistory(current);
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
     * Sends a notice of the current table to a sample of instances.
     *
     * @param peers The instances of this zone and the readers of others.
     * @param count The maximum number of neighbours, and of remote readers, to send to.
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
     * Handles a notice: pulls a later table, reports a conflict, or answers with a notice if the
     * sender's table is older.
     *
     * @param sender The sender's name.
     * @param notice The notice.
     * @param nowMillis The present time in milliseconds.
     */
    private void handle(String sender, TableMessages.Notice notice, long nowMillis) {
        TableParseResult.Accepted current = tableRegistry.current();
        long version = current.table().version();
        lock.lock();
        try {
            lastNoticeMillis = nowMillis;
            if (notice.version() > version && nowMillis >= nextPullMillis) {
                nextPullMillis = nowMillis + PULL_RETRY_MILLIS;
                network.send(
                        sender,
                        new TableMessages.Pull(version, current.digest()),
                        MessagePriority.PROMPT);
            }
        } finally {
            lock.unlock();
        }
        if (notice.version() == version && !notice.digest().equals(current.digest())) {
            tableRegistry.reportConflict(
                    notice.version(), notice.digest(), sourceName(sender), nowMillis);
        } else if (notice.version() < version) {
            network.send(sender, createNotice(), MessagePriority.PROMPT);
        }
    }

    /**
     * Sends the current table, as a difference if the sender's table is still in the history.
     *
     * @param sender The sender's name.
     * @param pull The pull, which names the sender's table.
     */
    private void handle(String sender, TableMessages.Pull pull) {
        TableParseResult.Accepted current = tableRegistry.current();
        if (current.table().version() <= pull.baseVersion()) {
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
        for (TableMessages.Part part : TablePacker.INSTANCE.pack(base, current)) {
            network.send(sender, part, MessagePriority.PROMPT);
        }
    }

    /**
     * Collects a part, and offers the table once all parts have arrived.
     *
     * @param sender The sender's name.
     * @param part The part.
     * @param nowMillis The present time in milliseconds.
     */
    private void handle(String sender, TableMessages.Part part, long nowMillis) {
        TableParseResult.Accepted current = tableRegistry.current();
        if (part.version() <= current.table().version()) {
            return;
        }
        Optional<TablePartAssembler.AssembledTable> assembled;
        lock.lock();
        try {
            nextPullMillis = nowMillis + PULL_RETRY_MILLIS;
            assembled = assembler.add(part);
            if (assembled.isPresent()) {
                nextPullMillis = nowMillis;
            }
        } finally {
            lock.unlock();
        }
        assembled.ifPresent(complete -> offer(sender, current, complete, nowMillis));
    }

    /**
     * Unpacks and offers a complete table. If its base is not the current table or its digest does
     * not match, the whole table is pulled instead, unless the parts were already those of a whole
     * table.
     *
     * @param sender The sender's name.
     * @param current The table that was current when the last part arrived.
     * @param assembled The assembled parts.
     * @param nowMillis The present time in milliseconds.
     */
    private void offer(
            String sender,
            TableParseResult.Accepted current,
            TablePartAssembler.AssembledTable assembled,
            long nowMillis) {
        long baseVersion = assembled.firstPart().baseVersion();
        Optional<TableParseResult> result = Optional.empty();
        if (baseVersion == 0 || baseVersion == current.table().version()) {
            try {
                result =
                        Optional.of(
                                TablePacker.INSTANCE.unpack(
                                        current.table(),
                                        assembled.firstPart(),
                                        assembled.content()));
            } catch (IOException exception) {
                result = Optional.empty();
            }
        }
        boolean isIntact =
                result.filter(TableParseResult.Accepted.class::isInstance)
                        .map(TableParseResult.Accepted.class::cast)
                        .filter(
                                accepted ->
                                        accepted.digest().equals(assembled.firstPart().digest()))
                        .isPresent();
        if (isIntact) {
            tableRegistry.offer(result.orElseThrow(), sourceName(sender), nowMillis);
        } else if (baseVersion != 0) {
            network.send(sender, new TableMessages.Pull(0, ""), MessagePriority.PROMPT);
        }
    }

    /**
     * Adds a table to the history, and drops the oldest one if the history is full.
     *
     * @param current The current table.
     */
    private void addToHistory(TableParseResult.Accepted current) {
        if (history.size() == HISTORY_SIZE) {
            history.removeFirst();
        }
        history.addLast(current);
    }

    /**
     * Creates a notice of the current table.
     *
     * @return The version and digest of the current table.
     */
    private TableMessages.Notice createNotice() {
        TableParseResult.Accepted current = tableRegistry.current();
        return new TableMessages.Notice(current.table().version(), current.digest());
    }

    /**
     * Returns the name of a table's source for the audit trail.
     *
     * @param sender The sender's name.
     * @return The source's name.
     */
    private static String sourceName(String sender) {
        return "entry instance " + sender;
    }
}
