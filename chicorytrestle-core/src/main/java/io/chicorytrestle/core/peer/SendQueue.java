package io.chicorytrestle.core.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Queues messages by priority, and limits the rate of sending by a byte budget. Messages that a
 * request waits for are sent even if the budget is used up, but are charged to it. This class is
 * thread-safe.
 *
 * @param <T> The type of the queued messages.
 */
public final class SendQueue<T> {

    /** The maximum number of waiting messages of each priority. */
    private final int capacity;

    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The waiting messages by priority, oldest first. */
    private final Map<MessagePriority, Deque<QueuedMessage<T>>> queues =
            new EnumMap<>(MessagePriority.class);

    /** The budget as of the last message. */
    private ByteBudget budget;

    /** The number of messages that were dropped because the queue was full. */
    private long dropped;

    /**
     * Creates a new queue.
     *
     * @param budget The initial budget.
     * @param capacity The maximum number of waiting messages of each priority.
     */
    public SendQueue(ByteBudget budget, int capacity) {
        this.budget = budget;
        this.capacity = capacity;
        for (MessagePriority priority : MessagePriority.values()) {
            queues.put(priority, new ArrayDeque<>());
        }
    }

    /**
     * Adds a message.
     *
     * @param message The message.
     * @param bytes The size of the message in bytes.
     * @param priority The message's priority.
     * @return {@code false} if the message was dropped because the queue is full.
     */
    public boolean offer(T message, int bytes, MessagePriority priority) {
        lock.lock();
        try {
            Deque<QueuedMessage<T>> waiting = queue(priority);
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
     * Removes the message that is to be sent next.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The oldest message of the highest priority, or empty if none waits or the budget is
     *     used up.
     */
    public Optional<T> poll(long nowMillis) {
        lock.lock();
        try {
            budget = budget.refilledAt(nowMillis);
            for (MessagePriority priority : MessagePriority.values()) {
                boolean isAllowed = priority == MessagePriority.REQUEST || budget.canSend();
                QueuedMessage<T> item = isAllowed ? queue(priority).pollFirst() : null;
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
     * @return The time until the budget allows sending in milliseconds, or {@code -1} if no message
     *     waits.
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
     * @return The number of messages that were dropped because the queue was full.
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
     * Returns the waiting messages of a priority.
     *
     * @param priority The priority.
     * @return The waiting messages, oldest first.
     */
    private Deque<QueuedMessage<T>> queue(MessagePriority priority) {
        return queues.computeIfAbsent(priority, ignored -> new ArrayDeque<>());
    }

    /**
     * Holds a waiting message.
     *
     * @param message The message.
     * @param bytes The size of the message in bytes.
     * @param <T> The type of the message.
     */
    private record QueuedMessage<T>(T message, int bytes) {}
}
