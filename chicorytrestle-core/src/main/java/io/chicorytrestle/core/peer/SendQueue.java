package io.chicorytrestle.core.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Queues messages under a byte budget, most urgent first. Messages that a request waits for are not
 * delayed, but counted. Several threads may call it.
 *
 * @param <T> The type of the queued messages.
 */
public final class SendQueue<T> {

    /** The most messages of each urgency that wait. */
    private final int capacity;

    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The waiting messages by urgency. */
    private final Map<MessagePriority, Deque<QueuedMessage<T>>> queues =
            new EnumMap<>(MessagePriority.class);

    /** The budget. */
    private ByteBudget budget;

    /** The messages that were dropped since the queue was full. */
    private long dropped;

    /**
     * Creates a new queue.
     *
     * @param budget The budget.
     * @param capacity The most messages of each urgency that wait.
     */
    public SendQueue(ByteBudget budget, int capacity) {
        this.budget = budget;
        this.capacity = capacity;
        for (MessagePriority urgency : MessagePriority.values()) {
            queues.put(urgency, new ArrayDeque<>());
        }
    }

    /**
     * Adds a message.
     *
     * @param message The message.
     * @param bytes The bytes that it takes.
     * @param urgency The message's rank.
     * @return {@code false} if the message was dropped since the queue is full.
     */
    public boolean offer(T message, int bytes, MessagePriority urgency) {
        lock.lock();
        try {
            Deque<QueuedMessage<T>> waiting = queue(urgency);
            if (waiting.size() >= capacity) {
                dropped++;
                return false;
            }
            waiting.addLast(new QueuedMessage<>(message, bytes));
            return true;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes the message that is to be sent next.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The most urgent message, or empty if none waits or the budget is used up.
     */
    public Optional<T> poll(long nowMillis) {
        lock.lock();
        try {
            budget = budget.refilledAt(nowMillis);
            for (MessagePriority urgency : MessagePriority.values()) {
                boolean isAllowed = urgency == MessagePriority.REQUEST || budget.canSend();
                QueuedMessage<T> item = isAllowed ? queue(urgency).pollFirst() : null;
                if (item != null) {
                    budget = budget.afterSending(item.bytes());
                    return Optional.of(item.message());
                }
            }
            return Optional.empty();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns how long the next message has to wait.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The time in milliseconds, or {@code -1} if no message waits.
     */
    public long waitMillis(long nowMillis) {
        lock.lock();
        try {
            if (!queue(MessagePriority.REQUEST).isEmpty()) {
                return 0;
            }
            boolean isEmpty = queues.values().stream().allMatch(Deque::isEmpty);
            return isEmpty ? -1 : budget.refilledAt(nowMillis).waitMillis();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the number of messages that were dropped.
     *
     * @return The messages that were dropped since the queue was full.
     */
    public long dropped() {
        lock.lock();
        try {
            return dropped;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the waiting messages of a rank.
     *
     * @param urgency The rank.
     * @return The waiting messages, oldest first.
     */
    private Deque<QueuedMessage<T>> queue(MessagePriority urgency) {
        return queues.computeIfAbsent(urgency, ignored -> new ArrayDeque<>());
    }

    /**
     * Holds a waiting message.
     *
     * @param message The message.
     * @param bytes The bytes that it takes.
     * @param <T> The type of the message.
     */
    private record QueuedMessage<T>(T message, int bytes) {}
}
